package settings

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// entryItself is the field name that catalogue.Validate uses for problems that concern
// no single field of the entry.
const entryItself = "entry"

// checkCatalogue records the problems that catalogue.Validate finds in each entry, and
// services with more than one entry.
func checkCatalogue(d *decoder, file *pb.CatalogueFile) {
	firstByService := map[string]string{}
	for i, entry := range file.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		checkUniqueService(d, path+".service", entry.Service, firstByService)
		d.addValidationProblems(path, catalogue.Validate(entry))
	}
}

// checkUniqueService records a problem if an earlier entry has the same service.
// firstByService maps each service to the path of its first occurrence.
func checkUniqueService(d *decoder, field, service string, firstByService map[string]string) {
	if service == "" {
		return
	}
	if firstField, ok := firstByService[service]; ok {
		line := d.positionOfField(firstField).line
		d.addFieldProblem(field, fmt.Sprintf("service %q already has an entry at line %d", service, line), "keep one of the two")
		return
	}
	firstByService[service] = field
}

// addValidationProblems records the problems in a catalogue.ValidationError at the
// positions of their fields. Fields that already have a problem are skipped, because
// their value could not be decoded.
func (d *decoder) addValidationProblems(path string, err error) {
	var invalid *catalogue.ValidationError
	if !errors.As(err, &invalid) {
		return
	}
	for _, problem := range invalid.Problems {
		field := path
		if problem.Field != entryItself {
			field = joinPath(path, problem.Field)
		}
		if !d.hasProblem(field) {
			d.addFieldProblem(field, problem.Detail, problem.Remedy)
		}
	}
}
