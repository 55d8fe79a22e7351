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

// maxNesting is the maximum nesting depth of a file. The schema needs 7 levels.
const maxNesting = 100

// position is a position in a file. Lines and columns are counted from 1.
type position struct {
	line   int
	column int
}

// decoder decodes one file into one schema message and collects all problems. A
// method with the name of a kind of value, such as list or duration, decodes one value
// of this kind.
type decoder struct {
	file     string
	problems []Problem
	// positions maps the path of each field that the file sets to its position.
	positions map[string]position
	// unreadable is true if the file could not be parsed at all. Missing fields are
	// then not reported, since they follow from the same problem.
	unreadable bool
}

func newDecoder(file string) *decoder {
	return &decoder{file: file, positions: map[string]position{}}
}

// err returns an *Error with all problems, or nil if there are none.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return newError(d.problems)
}

// decode decodes data into message.
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

// parse returns the root node, which is nil for an empty file. If the file is not
// valid, parse records a problem and returns false.
func (d *decoder) parse(data []byte) (ast.Node, bool) {
	if at, tooDeep := findExcessiveNesting(data); tooDeep {
		d.addProblem(at, "", fmt.Sprintf("more than %d nested brackets or list marks", maxNesting), "remove the nesting; the schema needs none")
		return nil, false
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return nil, false
	}
	return d.singleDocument(file)
}

// singleDocument returns the root node of the only document in the file that is not
// empty. It records a problem and returns false if there are several.
func (d *decoder) singleDocument(file *ast.File) (ast.Node, bool) {
	var root ast.Node
	for _, document := range file.Docs {
		if isEmpty(document.Body) {
			continue
		}
		if root != nil {
			d.addProblem(positionOf(document.Body), "", "the file holds several documents", "keep one document a file")
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

func (d *decoder) addSyntaxError(err error) {
	at := position{line: 1, column: 1}
	message := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		message = syntax.Message
		at = positionOfToken(syntax.Token)
	}
	d.addProblem(at, "", "not YAML: "+message, "correct the syntax at this place")
}

// findExcessiveNesting returns the position at which brackets, or list markers on one
// line, are nested deeper than maxNesting. The YAML parser is recursive and its run
// time is quadratic in the depth: a line of a million "- " needed more than 100 s.
func findExcessiveNesting(data []byte) (position, bool) {
	at := position{line: 1, column: 1}
	depth := 0
	markers := 0
	for _, b := range data {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		case '-', '?':
			markers++
		case ' ', '\t':
		case '\n':
			at.line++
			at.column = 0
			markers = 0
		default:
			markers = 0
		}
		if depth > maxNesting || markers > maxNesting {
			return at, true
		}
		at.column++
	}
	return position{}, false
}

// message decodes a mapping into a message.
func (d *decoder) message(path string, node ast.Node, message protoreflect.Message) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.addWrongType(path, node, "a mapping", "write its fields as `key: value` lines")
		return
	}
	seen := map[string]position{}
	for pairs := mapping.MapRange(); pairs.Next(); {
		d.entry(path, pairs.KeyValue(), message, seen)
	}
}

// entry decodes one entry of a mapping, a key and its value. seen holds the positions
// of the keys that were decoded before.
func (d *decoder) entry(path string, entry *ast.MappingValueNode, message protoreflect.Message, seen map[string]position) {
	at := positionOf(entry.Key)
	name, ok := keyName(entry.Key)
	if !ok {
		d.addProblem(at, path, "the key is not a plain name", knownKeys(message.Descriptor()))
		return
	}
	field := message.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil {
		d.addUnknownKey(at, path, name, message.Descriptor())
		return
	}
	if first, repeated := seen[name]; repeated {
		d.addProblem(at, joinPath(path, name), fmt.Sprintf("the key is repeated, first at line %d", first.line), "keep one of the two")
		return
	}
	seen[name] = at
	d.positions[joinPath(path, name)] = at
	d.field(joinPath(path, name), entry.Value, message, field)
}

func keyName(key ast.MapKeyNode) (string, bool) {
	text, ok := key.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return text.Value, true
}

// addUnknownKey records an unknown key, with the closest known key as a suggestion.
func (d *decoder) addUnknownKey(at position, path, name string, descriptor protoreflect.MessageDescriptor) {
	remedy := knownKeys(descriptor)
	if closest, ok := closestName(name, fieldNames(descriptor)); ok {
		remedy = fmt.Sprintf("did you mean %q?", closest)
	}
	d.addProblem(at, path, fmt.Sprintf("unknown key %q", name), remedy)
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

// field decodes the value of one field.
func (d *decoder) field(path string, node ast.Node, message protoreflect.Message, field protoreflect.FieldDescriptor) {
	if !d.checkPlain(path, node) {
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

// checkPlain records a problem and returns false for empty values, anchors, aliases
// and tags.
func (d *decoder) checkPlain(path string, node ast.Node) bool {
	if node == nil {
		d.addProblem(d.positions[path], path, "the value is missing", "give a value or remove the key")
		return false
	}
	switch node.Type() {
	case ast.NullType:
		d.addProblem(d.positions[path], path, "the value is missing", "give a value or remove the key")
		return false
	case ast.AnchorType, ast.AliasType, ast.TagType:
		d.addProblem(positionOf(node), path, "anchors, aliases and tags are not supported", "write the value out")
		return false
	}
	return true
}

// list decodes a sequence into a repeated field.
func (d *decoder) list(path string, node ast.Node, message protoreflect.Message, field protoreflect.FieldDescriptor) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addWrongType(path, node, "a list", "write each item on a line that starts with `- `, or use [a, b]")
		return
	}
	list := message.Mutable(field).List()
	for i, item := range sequence.Values {
		d.item(fmt.Sprintf("%s[%d]", path, i), item, list, field)
	}
}

// item decodes one item and appends it to a list. An invalid item is appended as
// far as it could be decoded, so that the indexes of later items stay correct.
func (d *decoder) item(path string, node ast.Node, list protoreflect.List, field protoreflect.FieldDescriptor) {
	d.positions[path] = positionOf(node)
	element := list.NewElement()
	if d.checkPlain(path, node) {
		if value, ok := d.value(path, node, element, field); ok {
			element = value
		}
	}
	list.Append(element)
}

// value decodes one value that is not a list. newValue is an empty value of the
// field, which is filled and returned if the field is a message.
func (d *decoder) value(path string, node ast.Node, newValue protoreflect.Value, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	if field.Kind() != protoreflect.MessageKind {
		return d.scalar(path, node, field)
	}
	if field.Message().FullName() == durationName {
		return d.duration(path, node)
	}
	d.message(path, node, newValue.Message())
	return newValue, true
}

var durationName = (&durationpb.Duration{}).ProtoReflect().Descriptor().FullName()

// addProblem records a problem at a position.
func (d *decoder) addProblem(at position, field, message, remedy string) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    at.line,
		Column:  at.column,
		Field:   field,
		Message: message,
		Remedy:  remedy,
	})
}

// addFieldProblem records a problem at the position of a field, or of the innermost
// enclosing field that the file sets.
func (d *decoder) addFieldProblem(field, message, remedy string) {
	d.addProblem(d.positionOfField(field), field, message, remedy)
}

// positionOfField returns the position of a field, or of the innermost enclosing field
// that the file sets, or the start of the file.
func (d *decoder) positionOfField(field string) position {
	for path := field; path != ""; path = parentPath(path) {
		if at, ok := d.positions[path]; ok {
			return at
		}
	}
	return position{line: 1, column: 1}
}

// parentPath returns the path of the enclosing list or message, or an empty string.
func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

func (d *decoder) addWrongType(path string, node ast.Node, want, remedy string) {
	message := fmt.Sprintf("this must be %s and is %s", want, nodeKindName(node))
	d.addProblem(positionOf(node), path, message, remedy)
}

// nodeKindName returns the kind of a node as used in problems.
func nodeKindName(node ast.Node) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// positionOf returns the position of the first key of a mapping, or of the first token
// of any other node.
func positionOf(node ast.Node) position {
	if node == nil {
		return position{line: 1, column: 1}
	}
	if mapping, ok := node.(*ast.MappingNode); ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return positionOf(mapping.Values[0].Key)
	}
	if entry, ok := node.(*ast.MappingValueNode); ok {
		return positionOf(entry.Key)
	}
	return positionOfToken(node.GetToken())
}

func positionOfToken(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}
