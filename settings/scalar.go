package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// sizeSuffix is the suffix of the names of fields that hold a number of bytes.
const sizeSuffix = "_bytes"

// sizeUnits lists the units of sizes. "B" is last because all other names end in it.
var sizeUnits = []struct {
	name  string
	bytes uint64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1_000},
	{"MB", 1_000_000},
	{"GB", 1_000_000_000},
	{"B", 1},
}

const (
	durationRemedy = "write a number with a unit, for example 250ms, 2s or 1h30m"
	sizeRemedy     = "write bytes or a number with a unit, for example 4096, 64KiB or 4MiB"
	numberRemedy   = "write a whole number without quotes"
	decimalRemedy  = "write a decimal number without quotes, for example 0.999"
)

// scalar decodes a value that is neither a message nor a list.
func (d *decoder) scalar(path string, node ast.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return d.text(path, node)
	case protoreflect.BoolKind:
		return d.boolean(path, node)
	case protoreflect.EnumKind:
		return d.enum(path, node, field.Enum())
	case protoreflect.DoubleKind:
		return d.decimal(path, node)
	case protoreflect.Uint32Kind:
		return d.number32(path, node)
	case protoreflect.Uint64Kind:
		return d.number64(path, node, field)
	}
	d.addWrongType(path, node, "a field of a supported kind", "remove the key")
	return protoreflect.Value{}, false
}

// scalarText returns the text of a plain, quoted or block string.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func (d *decoder) text(path string, node ast.Node) (protoreflect.Value, bool) {
	text, ok := scalarText(node)
	if !ok {
		d.addWrongType(path, node, "text", "put the value in quotes")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfString(text), true
}

func (d *decoder) boolean(path string, node ast.Node) (protoreflect.Value, bool) {
	boolean, ok := node.(*ast.BoolNode)
	if !ok {
		d.addWrongType(path, node, "a truth value", "write true or false without quotes")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfBool(boolean.Value), true
}

func (d *decoder) enum(path string, node ast.Node, enum protoreflect.EnumDescriptor) (protoreflect.Value, bool) {
	names := enumNames(enum)
	text, ok := scalarText(node)
	if !ok {
		d.addWrongType(path, node, "a name", "write one of "+strings.Join(names, ", "))
		return protoreflect.Value{}, false
	}
	value := enum.Values().ByName(protoreflect.Name(enumPrefix(enum) + strings.ToUpper(text)))
	if value == nil || value.Number() == 0 || text != strings.ToLower(text) {
		d.addUnknownName(path, node, text, names)
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfEnum(value.Number()), true
}

// addUnknownName records an unknown enum name, with the closest name as a suggestion.
func (d *decoder) addUnknownName(path string, node ast.Node, text string, names []string) {
	remedy := "write one of " + strings.Join(names, ", ")
	if closest, ok := closestName(strings.ToLower(text), names); ok {
		remedy = fmt.Sprintf("did you mean %q?", closest)
	}
	d.addProblem(positionOf(node), path, fmt.Sprintf("unknown name %q", text), remedy)
}

// enumNames returns the lower-case names of an enum without their prefix. The first
// value, which is unspecified, is omitted.
func enumNames(enum protoreflect.EnumDescriptor) []string {
	var names []string
	for i := 1; i < enum.Values().Len(); i++ {
		name := string(enum.Values().Get(i).Name())
		names = append(names, strings.ToLower(strings.TrimPrefix(name, enumPrefix(enum))))
	}
	return names
}

// enumPrefix returns the common prefix of the value names, for example CLASS_.
func enumPrefix(enum protoreflect.EnumDescriptor) string {
	return strings.TrimSuffix(string(enum.Values().Get(0).Name()), "UNSPECIFIED")
}

func (d *decoder) decimal(path string, node ast.Node) (protoreflect.Value, bool) {
	switch n := node.(type) {
	case *ast.FloatNode:
		return protoreflect.ValueOfFloat64(n.Value), true
	case *ast.IntegerNode:
		if value, ok := nonNegativeInteger(n); ok {
			return protoreflect.ValueOfFloat64(float64(value)), true
		}
	}
	d.addWrongType(path, node, "a decimal number", decimalRemedy)
	return protoreflect.Value{}, false
}

// number32 decodes the value of a uint32 field.
func (d *decoder) number32(path string, node ast.Node) (protoreflect.Value, bool) {
	value, ok := d.number(path, node, math.MaxUint32)
	return protoreflect.ValueOfUint32(uint32(value)), ok
}

// number64 decodes the value of a uint64 field, which is a size if its name has
// sizeSuffix.
func (d *decoder) number64(path string, node ast.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	if strings.HasSuffix(string(field.Name()), sizeSuffix) {
		return d.size(path, node)
	}
	value, ok := d.number(path, node, math.MaxUint64)
	return protoreflect.ValueOfUint64(value), ok
}

// number decodes an integer from 0 to maxValue.
func (d *decoder) number(path string, node ast.Node, maxValue uint64) (uint64, bool) {
	integer, ok := node.(*ast.IntegerNode)
	if !ok {
		d.addWrongType(path, node, "a whole number", numberRemedy)
		return 0, false
	}
	value, ok := nonNegativeInteger(integer)
	if !ok || value > maxValue {
		d.addProblem(positionOf(node), path, "the number is out of range", fmt.Sprintf("write a number from 0 to %d", maxValue))
		return 0, false
	}
	return value, true
}

// nonNegativeInteger returns the value of an integer node. It returns false if the
// integer is negative or does not fit in 64 bits.
func nonNegativeInteger(node *ast.IntegerNode) (uint64, bool) {
	switch value := node.Value.(type) {
	case int64:
		return uint64(value), value >= 0
	case uint64:
		return value, true
	}
	return 0, false
}

// size decodes a size, either an integer number of bytes or a text with a unit.
func (d *decoder) size(path string, node ast.Node) (protoreflect.Value, bool) {
	if _, ok := node.(*ast.IntegerNode); ok {
		value, ok := d.number(path, node, math.MaxUint64)
		return protoreflect.ValueOfUint64(value), ok
	}
	text, ok := scalarText(node)
	if !ok {
		d.addWrongType(path, node, "a size", sizeRemedy)
		return protoreflect.Value{}, false
	}
	value, ok := parseSize(text)
	if !ok {
		d.addProblem(positionOf(node), path, fmt.Sprintf("%q is not a size", text), sizeRemedy)
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfUint64(value), true
}

// parseSize parses an integer followed by a unit of sizeUnits. It returns false if the
// text is invalid or the size overflows.
func parseSize(text string) (uint64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 64)
		if err != nil || number > math.MaxUint64/unit.bytes {
			return 0, false
		}
		return number * unit.bytes, true
	}
	return 0, false
}

func (d *decoder) duration(path string, node ast.Node) (protoreflect.Value, bool) {
	text, ok := scalarText(node)
	if !ok {
		d.addWrongType(path, node, "a duration", durationRemedy)
		return protoreflect.Value{}, false
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.addProblem(positionOf(node), path, fmt.Sprintf("%q is not a duration", text), durationRemedy)
		return protoreflect.Value{}, false
	}
	if value < 0 {
		d.addProblem(positionOf(node), path, "the duration is negative", "write a duration of 0s or more")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfMessage(durationpb.New(value).ProtoReflect()), true
}
