package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// maxNesting bounds the nesting of a file. The schema needs 7 levels.
const maxNesting = 100

// place is a position in the file; both parts count from 1.
type place struct {
	line   int
	column int
}

// decoder fills one schema message from one file and collects the problems.
type decoder struct {
	file     string
	problems []Problem
	// places holds the position of each field that the file sets, by path.
	places map[string]place
	// unreadable is true if the file is not YAML at all, so that checks of
	// missing fields would only repeat the fault.
	unreadable bool
}

func newDecoder(file string) *decoder {
	return &decoder{file: file, places: map[string]place{}}
}

// err returns nil or *Error with all problems.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return newError(d.problems)
}

// decode reads data into message.
func (d *decoder) decode(data []byte, message proto.Message) {
	if len(data) > MaxFileBytes {
		d.problems = tooLarge(d.file, int64(len(data))).Problems
		d.unreadable = true
		return
	}
	root, ok := d.parse(data)
	if !ok {
		d.unreadable = true
		return
	}
	if root == nil {
		return
	}
	d.message("", root, message.ProtoReflect())
}

// parse returns the root node, nil for an empty file, or false with a problem.
func (d *decoder) parse(data []byte) (ast.Node, bool) {
	if at, deep := tooDeep(data); deep {
		d.add(at, "", fmt.Sprintf("more than %d nested brackets or list marks", maxNesting), "remove the nesting; the schema needs none")
		return nil, false
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxError(err)
		return nil, false
	}
	return d.onlyDocument(file)
}

func (d *decoder) onlyDocument(file *ast.File) (ast.Node, bool) {
	var root ast.Node
	for _, document := range file.Docs {
		if isEmpty(document.Body) {
			continue
		}
		if root != nil {
			d.add(placeOf(document.Body), "", "the file holds several documents", "keep one document a file")
			return nil, false
		}
		root = document.Body
	}
	return root, true
}

func isEmpty(node ast.Node) bool {
	if node == nil {
		return true
	}
	return node.Type() == ast.CommentType || node.Type() == ast.NullType
}

func (d *decoder) syntaxError(err error) {
	at := place{line: 1, column: 1}
	message := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		message = syntax.Message
		at = placeOfToken(syntax.Token)
	}
	d.add(at, "", "not YAML: "+message, "correct the syntax at this place")
}

// tooDeep finds the place where brackets, or list marks of one line, are nested
// deeper than maxNesting. The parser is recursive and its time grows with the
// square of the depth: a line of a million "- " took more than 100 s.
func tooDeep(data []byte) (place, bool) {
	at := place{line: 1, column: 1}
	depth := 0
	marks := 0
	for _, b := range data {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		case '-', '?':
			marks++
		case ' ', '\t':
		case '\n':
			at.line++
			at.column = 0
			marks = 0
		default:
			marks = 0
		}
		if depth > maxNesting || marks > maxNesting {
			return at, true
		}
		at.column++
	}
	return place{}, false
}

// message reads a mapping into a message.
func (d *decoder) message(path string, node ast.Node, message protoreflect.Message) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.wrongType(path, node, "a mapping", "write its fields as `key: value` lines")
		return
	}
	seen := map[string]place{}
	for pairs := mapping.MapRange(); pairs.Next(); {
		d.pair(path, pairs.KeyValue(), message, seen)
	}
}

// pair reads one key and its value.
func (d *decoder) pair(path string, pair *ast.MappingValueNode, message protoreflect.Message, seen map[string]place) {
	at := placeOf(pair.Key)
	name, ok := keyName(pair.Key)
	if !ok {
		d.add(at, path, "the key is not a plain name", knownKeys(message.Descriptor()))
		return
	}
	field := message.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil {
		d.unknownKey(at, path, name, message.Descriptor())
		return
	}
	if first, repeated := seen[name]; repeated {
		d.add(at, join(path, name), fmt.Sprintf("the key is repeated, first at line %d", first.line), "keep one of the two")
		return
	}
	seen[name] = at
	d.places[join(path, name)] = at
	d.field(join(path, name), pair.Value, message, field)
}

func keyName(key ast.MapKeyNode) (string, bool) {
	text, ok := key.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return text.Value, true
}

func (d *decoder) unknownKey(at place, path, name string, descriptor protoreflect.MessageDescriptor) {
	remedy := knownKeys(descriptor)
	if nearest, ok := nearestName(name, fieldNames(descriptor)); ok {
		remedy = fmt.Sprintf("did you mean %q?", nearest)
	}
	d.add(at, path, fmt.Sprintf("unknown key %q", name), remedy)
}

func knownKeys(descriptor protoreflect.MessageDescriptor) string {
	return "known keys are " + strings.Join(fieldNames(descriptor), ", ")
}

func fieldNames(descriptor protoreflect.MessageDescriptor) []string {
	names := make([]string, descriptor.Fields().Len())
	for i := range names {
		names[i] = string(descriptor.Fields().Get(i).Name())
	}
	return names
}

// field reads the value of one field.
func (d *decoder) field(path string, node ast.Node, message protoreflect.Message, field protoreflect.FieldDescriptor) {
	if !d.plain(path, node) {
		return
	}
	if field.IsList() {
		d.list(path, node, message, field)
		return
	}
	value, ok := d.value(path, node, message.NewField(field), field)
	if ok {
		message.Set(field, value)
	}
}

// plain refuses empty values, anchors, aliases and tags.
func (d *decoder) plain(path string, node ast.Node) bool {
	if node == nil {
		d.add(d.places[path], path, "the value is missing", "give a value or remove the key")
		return false
	}
	switch node.Type() {
	case ast.NullType:
		d.add(d.places[path], path, "the value is missing", "give a value or remove the key")
		return false
	case ast.AnchorType, ast.AliasType, ast.TagType:
		d.add(placeOf(node), path, "anchors, aliases and tags are not supported", "write the value out")
		return false
	}
	return true
}

// list reads a sequence into a repeated field.
func (d *decoder) list(path string, node ast.Node, message protoreflect.Message, field protoreflect.FieldDescriptor) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.wrongType(path, node, "a list", "write each item on a line that starts with `- `, or use [a, b]")
		return
	}
	list := message.Mutable(field).List()
	for i, item := range sequence.Values {
		d.item(fmt.Sprintf("%s[%d]", path, i), item, list, field)
	}
}

// item appends one value to a list. A faulty item is appended as far as it was
// read, so that the indexes of later items hold.
func (d *decoder) item(path string, node ast.Node, list protoreflect.List, field protoreflect.FieldDescriptor) {
	d.places[path] = placeOf(node)
	element := list.NewElement()
	if d.plain(path, node) {
		if value, ok := d.value(path, node, element, field); ok {
			element = value
		}
	}
	list.Append(element)
}

// value reads one value that is not a list. empty is a new value of the field.
func (d *decoder) value(path string, node ast.Node, empty protoreflect.Value, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	if field.Kind() != protoreflect.MessageKind {
		return d.scalar(path, node, field)
	}
	if field.Message().FullName() == durationName {
		return d.duration(path, node)
	}
	d.message(path, node, empty.Message())
	return empty, true
}

var durationName = (&durationpb.Duration{}).ProtoReflect().Descriptor().FullName()

// add records a problem.
func (d *decoder) add(at place, field, message, remedy string) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    at.line,
		Column:  at.column,
		Field:   field,
		Message: message,
		Remedy:  remedy,
	})
}

// addField records a problem at the position of a field, or at the nearest
// enclosing field that the file sets.
func (d *decoder) addField(field, message, remedy string) {
	d.add(d.find(field), field, message, remedy)
}

func (d *decoder) find(field string) place {
	for path := field; path != ""; path = parentPath(path) {
		if at, ok := d.places[path]; ok {
			return at
		}
	}
	return place{line: 1, column: 1}
}

func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

func (d *decoder) wrongType(path string, node ast.Node, want, remedy string) {
	message := fmt.Sprintf("this must be %s and is %s", want, describe(node))
	d.add(placeOf(node), path, message, remedy)
}

func describe(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.IntegerType, ast.FloatType, ast.InfinityType, ast.NanType:
		return "a number"
	case ast.BoolType:
		return "a truth value"
	default:
		return "text"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func placeOf(node ast.Node) place {
	if node == nil {
		return place{line: 1, column: 1}
	}
	if mapping, ok := node.(*ast.MappingNode); ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return placeOf(mapping.Values[0].Key)
	}
	if pair, ok := node.(*ast.MappingValueNode); ok {
		return placeOf(pair.Key)
	}
	return placeOfToken(node.GetToken())
}

func placeOfToken(t *token.Token) place {
	if t == nil || t.Position == nil {
		return place{line: 1, column: 1}
	}
	return place{line: t.Position.Line, column: t.Position.Column}
}
