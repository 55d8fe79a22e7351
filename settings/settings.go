// Package settings reads the settings of a node and the catalogue files of
// operators. Files are YAML; their keys are the field names of the schema
// messages NodeSettings and CatalogueFile.
//
// Values are written as follows:
//
//   - durations with a unit, for example 250ms, 2s or 1h30m;
//   - sizes (fields that end in _bytes) as bytes or with a unit: 4096, 64KiB,
//     4MiB, 1GiB, 64KB, 4MB, 1GB;
//   - enums as lower-case names without prefix, for example critical.
//
// A file with faults is refused as a whole. The error is *Error and lists every
// problem with its line, its column and what to do.
package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// MaxFileBytes is the size of the largest file that is read.
const MaxFileBytes = 4 << 20

// LoadNode reads the settings of a node from a file, checks them and fills in
// the defaults. The error is *Error, or wraps the error of the file system.
func LoadNode(path string) (*pb.NodeSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseNode(path, data)
}

// ParseNode reads the settings of a node from the content of a file.
func ParseNode(data []byte) (*pb.NodeSettings, error) {
	return parseNode("", data)
}

// LoadCatalogue reads a catalogue file and validates each entry by
// catalogue.Validate. The error is *Error, or wraps the error of the file system.
func LoadCatalogue(path string) (*pb.CatalogueFile, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseCatalogue(path, data)
}

// ParseCatalogue reads a catalogue from the content of a file.
func ParseCatalogue(data []byte) (*pb.CatalogueFile, error) {
	return parseCatalogue("", data)
}

func parseNode(file string, data []byte) (*pb.NodeSettings, error) {
	settings := &pb.NodeSettings{}
	d := newDecoder(file)
	d.decode(data, settings)
	if d.unreadable {
		return nil, d.err()
	}
	fillNode(settings)
	checkNode(d, settings)
	if err := d.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func parseCatalogue(file string, data []byte) (*pb.CatalogueFile, error) {
	catalogue := &pb.CatalogueFile{}
	d := newDecoder(file)
	d.decode(data, catalogue)
	if d.unreadable {
		return nil, d.err()
	}
	checkCatalogue(d, catalogue)
	if err := d.err(); err != nil {
		return nil, err
	}
	return catalogue, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings: cannot read the file; check the path and its permissions")
	}
	if info.Size() > MaxFileBytes {
		return nil, tooLarge(path, info.Size())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings: cannot read the file; check the path and its permissions")
	}
	return data, nil
}
