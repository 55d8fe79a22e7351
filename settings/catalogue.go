package settings

import (
	"fmt"

	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// checkRemedy is the remedy of problems whose message already names one.
const checkRemedy = "correct the entry and validate the file again"

// checkCatalogue reports entries without a service, services that occur twice,
// and what the checks find.
func checkCatalogue(d *decoder, catalogue *pb.CatalogueFile, checks []Check) {
	first := map[string]string{}
	for i, entry := range catalogue.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		checkService(d, path, entry, first)
		for _, check := range checks {
			d.addCheck(path, check(entry))
		}
	}
}

func checkService(d *decoder, path string, entry *pb.Entry, first map[string]string) {
	field := path + ".service"
	if entry.Service == "" {
		if !d.reported(field) {
			d.addField(field, "the service is missing", "add `service: NAME`")
		}
		return
	}
	if earlier, ok := first[entry.Service]; ok {
		line := d.find(earlier).line
		d.addField(field, fmt.Sprintf("service %q already has an entry at line %d", entry.Service, line), "keep one of the two")
		return
	}
	first[entry.Service] = field
}

// addCheck records the error of a check, each of several joined ones by itself.
func (d *decoder) addCheck(path string, err error) {
	if err == nil {
		return
	}
	var several interface{ Unwrap() []error }
	if errors.As(err, &several) {
		for _, one := range several.Unwrap() {
			d.addCheck(path, one)
		}
		return
	}
	field := path
	var located interface{ FieldPath() string }
	if errors.As(err, &located) && located.FieldPath() != "" {
		field = join(path, located.FieldPath())
	}
	if !d.reported(field) {
		d.addField(field, err.Error(), checkRemedy)
	}
}
