package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// FormatCatalogue returns a catalogue as YAML that ParseCatalogue can read. Unset fields
// are omitted, except booleans, which are always written.
func FormatCatalogue(file *pb.CatalogueFile) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(messageToMap(file.ProtoReflect()), yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Wrap(err, "settings: the catalogue cannot be written as YAML; report this to the developers")
	}
	return data, nil
}

// messageToMap returns the set fields and all booleans of a message, in the order of
// the schema.
func messageToMap(message protoreflect.Message) yaml.MapSlice {
	var pairs yaml.MapSlice
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !message.Has(field) && field.Kind() != protoreflect.BoolKind {
			continue
		}
		pairs = append(pairs, yaml.MapItem{Key: string(field.Name()), Value: yamlValue(message.Get(field), field)})
	}
	return pairs
}

// yamlValue returns a field value in the form in which it is written to YAML.
func yamlValue(value protoreflect.Value, field protoreflect.FieldDescriptor) any {
	if !field.IsList() {
		return yamlItem(value, field)
	}
	list := value.List()
	items := make([]any, list.Len())
	for i := range items {
		items[i] = yamlItem(list.Get(i), field)
	}
	return items
}

// yamlItem is yamlValue for a value that is not a list.
func yamlItem(value protoreflect.Value, field protoreflect.FieldDescriptor) any {
	switch {
	case field.Kind() == protoreflect.MessageKind && field.Message().FullName() == durationName:
		return value.Message().Interface().(*durationpb.Duration).AsDuration().String()
	case field.Kind() == protoreflect.MessageKind:
		return messageToMap(value.Message())
	case field.Kind() == protoreflect.EnumKind:
		return enumText(field.Enum(), value.Enum())
	case strings.HasSuffix(string(field.Name()), sizeSuffix):
		return sizeText(value.Uint())
	default:
		return value.Interface()
	}
}

// enumText returns the lower-case name of an enum value without the prefix of the enum,
// or the number if the value is unknown.
func enumText(enum protoreflect.EnumDescriptor, number protoreflect.EnumNumber) string {
	value := enum.Values().ByNumber(number)
	if value == nil {
		return fmt.Sprint(number)
	}
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), enumPrefix(enum)))
}

// sizeText returns a size in the largest binary unit that divides it, or as a number of
// bytes if there is none.
func sizeText(bytes uint64) any {
	for _, unit := range []struct {
		name  string
		bytes uint64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.name)
		}
	}
	return bytes
}

// A FieldText is one set field of a message as text.
type FieldText struct {
	// Path is the path of the field. Items of a list of messages are identified by
	// their name field, or by their index if they have none, for example
	// "operations[book].deadline".
	Path string
	// Text is the value as it is written to YAML. The items of a list of scalars are
	// separated by commas.
	Text string
}

// Flatten returns the set fields and all booleans of a message and its submessages as
// text, in the order of the schema. It serves to compare two catalogue entries.
func Flatten(message proto.Message) []FieldText {
	return flatten(nil, "", messageToMap(message.ProtoReflect()))
}

// flatten appends the fields of a message to texts.
func flatten(texts []FieldText, path string, pairs yaml.MapSlice) []FieldText {
	for _, pair := range pairs {
		texts = flattenValue(texts, joinPath(path, pair.Key.(string)), pair.Value)
	}
	return texts
}

func flattenValue(texts []FieldText, path string, value any) []FieldText {
	switch v := value.(type) {
	case yaml.MapSlice:
		return flatten(texts, path, v)
	case []any:
		return flattenList(texts, path, v)
	default:
		return append(texts, FieldText{Path: path, Text: fmt.Sprint(v)})
	}
}

// flattenList appends the items of a list to texts. Scalar items form one FieldText.
func flattenList(texts []FieldText, path string, items []any) []FieldText {
	var scalars []string
	for i, item := range items {
		pairs, ok := item.(yaml.MapSlice)
		if !ok {
			scalars = append(scalars, fmt.Sprint(item))
			continue
		}
		texts = flatten(texts, fmt.Sprintf("%s[%s]", path, itemName(pairs, i)), pairs)
	}
	if len(scalars) > 0 {
		texts = append(texts, FieldText{Path: path, Text: strings.Join(scalars, ", ")})
	}
	return texts
}

// itemName returns the name field of a list item, or its index if it has none.
func itemName(pairs yaml.MapSlice, index int) string {
	for _, pair := range pairs {
		if pair.Key == "name" {
			return fmt.Sprint(pair.Value)
		}
	}
	return fmt.Sprint(index)
}
