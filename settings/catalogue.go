package settings

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// wholeEntry is the field by which catalogue.Validate names the entry itself.
const wholeEntry = "entry"

// checkCatalogue reports what catalogue.Validate finds in each entry, and
// services that occur twice.
func checkCatalogue(d *decoder, file *pb.CatalogueFile) {
	first := map[string]string{}
	for i, entry := range file.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		checkUnique(d, path+".service", entry.Service, first)
		d.addInvalid(path, catalogue.Validate(entry))
	}
}

func checkUnique(d *decoder, field, service string, first map[string]string) {
	if service == "" {
		return
	}
	if earlier, ok := first[service]; ok {
		line := d.find(earlier).line
		d.addField(field, fmt.Sprintf("service %q already has an entry at line %d", service, line), "keep one of the two")
		return
	}
	first[service] = field
}

// addInvalid records the problems of one entry at the lines of their fields.
// Fields that could not be read are left out, as their fault is known.
func (d *decoder) addInvalid(path string, err error) {
	var invalid *catalogue.ValidationError
	if !errors.As(err, &invalid) {
		return
	}
	for _, problem := range invalid.Problems {
		field := path
		if problem.Field != wholeEntry {
			field = join(path, problem.Field)
		}
		if !d.reported(field) {
			d.addField(field, problem.Detail, problem.Remedy)
		}
	}
}
