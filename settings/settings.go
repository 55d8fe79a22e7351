// Package settings loads and validates the settings of a node and the catalogue
// files of operators. The files are YAML; their keys are the field names of the
// schema messages NodeSettings and CatalogueFile.
//
// Values have the following form:
//
//   - durations have a unit, for example 250ms, 2s or 1h30m;
//   - sizes (fields whose name ends in _bytes) are numbers of bytes or have a unit:
//     4096, 64KiB, 4MiB, 1GiB, 64KB, 4MB, 1GB;
//   - enum values are lower-case names without the prefix of the enum, for example
//     critical.
//
// A file with any problem is rejected completely. The error is an *Error, which
// lists every problem with its line, its column and a remedy.
package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 4 << 20

// LoadNode reads the settings of a node from a file, fills in the defaults and
// validates them. The error is an *Error or wraps the error of the file system.
func LoadNode(path string) (*pb.NodeSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseNode(path, data)
}

// ParseNode is like LoadNode for the content of a file.
func ParseNode(data []byte) (*pb.NodeSettings, error) {
	return parseNode("", data)
}

// LoadCatalogue reads a catalogue file and validates each entry with
// catalogue.Validate. The error is an *Error or wraps the error of the file system.
func LoadCatalogue(path string) (*pb.CatalogueFile, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseCatalogue(path, data)
}

// ParseCatalogue is like LoadCatalogue for the content of a file.
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
