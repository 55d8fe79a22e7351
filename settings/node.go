package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Defaults of NodeSettings. The advertised address defaults to listen.nodes.
const (
	DefaultCallersAddress    = "127.0.0.1:7400"
	DefaultTargetAddress     = "127.0.0.1:7401"
	DefaultNodesAddress      = "127.0.0.1:7402"
	DefaultOperatorsAddress  = "127.0.0.1:7403"
	DefaultRegion            = "default"
	DefaultLogTimeout        = 3 * time.Second
	DefaultPollInterval      = 500 * time.Millisecond
	DefaultHeaderBytes       = 32 << 10
	DefaultBodyBytes         = 4 << 20
	DefaultCallerConnections = 4096
	DefaultNodeConnections   = 4096
	DefaultKeyTableBytes     = 12 << 20
	DefaultJournalEntries    = 4096
	DefaultLogLevel          = "info"
)

// Ranges of NodeSettings.
const (
	MinInterval       = 10 * time.Millisecond
	MaxInterval       = time.Minute
	MinHeaderBytes    = 1 << 10
	MaxHeaderBytes    = 1 << 20
	MinBodyBytes      = 1 << 10
	MaxBodyBytes      = catalogue.MaxBodyBytes
	MinKeyTableBytes  = 64 << 10
	MaxKeyTableBytes  = 16 << 30
	MinJournalEntries = 16
	MaxJournalEntries = 1 << 20
)

// namePattern is the form of names of VMs, zones, regions and services.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// fillNode sets every field that the file leaves out and that has a default.
func fillNode(s *pb.NodeSettings) {
	fillText(&s.Region, DefaultRegion)
	fillText(&s.LogLevel, DefaultLogLevel)
	fillListen(s)
	if s.Log == nil {
		s.Log = &pb.LogSettings{}
	}
	fillDuration(&s.Log.Timeout, DefaultLogTimeout)
	fillDuration(&s.Log.PollInterval, DefaultPollInterval)
	fillBounds(s)
}

func fillListen(s *pb.NodeSettings) {
	if s.Listen == nil {
		s.Listen = &pb.ListenSettings{}
	}
	fillText(&s.Listen.Callers, DefaultCallersAddress)
	fillText(&s.Listen.Target, DefaultTargetAddress)
	fillText(&s.Listen.Nodes, DefaultNodesAddress)
	fillText(&s.Listen.Operators, DefaultOperatorsAddress)
	fillText(&s.Advertise, s.Listen.Nodes)
}

func fillBounds(s *pb.NodeSettings) {
	if s.Bounds == nil {
		s.Bounds = &pb.BoundSettings{}
	}
	b := s.Bounds
	fillNumber(&b.HeaderBytes, DefaultHeaderBytes)
	fillNumber(&b.BodyBytes, DefaultBodyBytes)
	fillNumber(&b.CallerConnections, DefaultCallerConnections)
	fillNumber(&b.NodeConnections, DefaultNodeConnections)
	fillNumber(&b.KeyTableBytes, DefaultKeyTableBytes)
	fillNumber(&b.JournalEntries, DefaultJournalEntries)
}

func fillText(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

func fillNumber[T uint32 | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func fillDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}

// checkNode reports values that are out of range and combinations that cannot
// work.
func checkNode(d *decoder, s *pb.NodeSettings) {
	checkName(d, "vm", s.Vm)
	checkName(d, "availability_zone", s.AvailabilityZone)
	checkName(d, "region", s.Region)
	checkName(d, "service", s.Service)
	checkLog(d, s.Log)
	checkTLS(d, s.Tls)
	checkAddresses(d, s)
	checkBounds(d, s.Bounds)
	if !slices.Contains(logLevels, s.LogLevel) {
		d.addField("log_level", fmt.Sprintf("unknown level %q", s.LogLevel), "write one of "+strings.Join(logLevels, ", "))
	}
}

func checkName(d *decoder, field, value string) {
	if value == "" {
		if !d.reported(field) {
			d.addField(field, "the setting is missing", fmt.Sprintf("add `%s: NAME`", field))
		}
		return
	}
	if !namePattern.MatchString(value) {
		d.addField(field, fmt.Sprintf("%q is not a name", value), "use 1 to 128 letters, digits, dots, hyphens and underscores, and start with a letter or digit")
	}
}

// reported tells whether a problem with the field is already known.
func (d *decoder) reported(field string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Field == field })
}

func checkLog(d *decoder, log *pb.LogSettings) {
	checkURL(d, "log.url", log.Url)
	checkInterval(d, "log.timeout", log.Timeout)
	checkInterval(d, "log.poll_interval", log.PollInterval)
}

func checkURL(d *decoder, field, value string) {
	const remedy = "write the base URL of the log service, for example http://10.0.0.9:7000"
	if value == "" {
		if !d.reported(field) {
			d.addField(field, "the setting is missing", remedy)
		}
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		d.addField(field, fmt.Sprintf("%q is not an HTTP URL", value), remedy)
	}
}

func checkInterval(d *decoder, field string, value *durationpb.Duration) {
	checkRange(d, field, value.AsDuration(), MinInterval, MaxInterval)
}

func checkRange[T time.Duration | uint32 | uint64](d *decoder, field string, value, lowest, highest T) {
	if value < lowest || value > highest {
		d.addField(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a value from %v to %v", lowest, highest))
	}
}

func checkBounds(d *decoder, b *pb.BoundSettings) {
	checkRange(d, "bounds.header_bytes", b.HeaderBytes, MinHeaderBytes, MaxHeaderBytes)
	checkRange(d, "bounds.body_bytes", b.BodyBytes, MinBodyBytes, MaxBodyBytes)
	checkRange(d, "bounds.key_table_bytes", b.KeyTableBytes, MinKeyTableBytes, MaxKeyTableBytes)
	checkRange(d, "bounds.journal_entries", b.JournalEntries, MinJournalEntries, MaxJournalEntries)
}

func checkTLS(d *decoder, tls *pb.TlsSettings) {
	if tls == nil {
		return
	}
	checkPresent(d, "tls.certificate_file", tls.CertificateFile)
	checkPresent(d, "tls.key_file", tls.KeyFile)
	checkPresent(d, "tls.authorities_file", tls.AuthoritiesFile)
}

func checkPresent(d *decoder, field, value string) {
	if value == "" && !d.reported(field) {
		d.addField(field, "the setting is missing", "name all three of certificate_file, key_file and authorities_file, or remove tls")
	}
}

// address is one address of the settings and the field that holds it.
type address struct {
	field string
	value netip.AddrPort
}

func checkAddresses(d *decoder, s *pb.NodeSettings) {
	listeners := listenerAddresses(d, s.Listen)
	checkTarget(d, listeners)
	checkDistinct(d, listeners)
	remote := remoteAddresses(d, s)
	if s.Tls == nil {
		checkLoopback(d, slices.Concat(listeners, remote))
	}
}

func listenerAddresses(d *decoder, listen *pb.ListenSettings) []address {
	var found []address
	found = parseAddress(d, found, "listen.callers", listen.Callers)
	found = parseAddress(d, found, "listen.target", listen.Target)
	found = parseAddress(d, found, "listen.nodes", listen.Nodes)
	return parseAddress(d, found, "listen.operators", listen.Operators)
}

// remoteAddresses returns the addresses by which nodes reach each other.
func remoteAddresses(d *decoder, s *pb.NodeSettings) []address {
	var found []address
	if s.Advertise != s.Listen.Nodes {
		found = parseAddress(d, found, "advertise", s.Advertise)
	}
	if at, err := netip.ParseAddrPort(s.Advertise); err == nil && at.Addr().IsUnspecified() {
		d.addField("advertise", "other nodes cannot reach an unspecified address", "set advertise to the IP:port of this VM that other nodes use")
	}
	for i, seed := range s.Seeds {
		found = parseAddress(d, found, fmt.Sprintf("seeds[%d]", i), seed)
	}
	return found
}

func parseAddress(d *decoder, found []address, field, text string) []address {
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		if !d.reported(field) {
			d.addField(field, fmt.Sprintf("%q is not an address", text), "write IP:port with a numeric IP address, for example 127.0.0.1:7402")
		}
		return found
	}
	return append(found, address{field: field, value: value})
}

func checkTarget(d *decoder, listeners []address) {
	for _, a := range listeners {
		if a.field == "listen.target" && !a.value.Addr().IsLoopback() {
			d.addField(a.field, "the listener for the target is not on loopback", "use a loopback address, for example "+DefaultTargetAddress)
		}
	}
}

func checkDistinct(d *decoder, listeners []address) {
	for i, a := range listeners {
		for _, earlier := range listeners[:i] {
			if collide(a.value, earlier.value) {
				d.addField(a.field, fmt.Sprintf("%s is also used by %s", a.value, earlier.field), "use another port")
				break
			}
		}
	}
}

// collide tells whether two listeners cannot be open at one time. Port 0 asks
// for any free port.
func collide(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func checkLoopback(d *decoder, addresses []address) {
	for _, a := range addresses {
		if a.field == "listen.target" || a.value.Addr().IsLoopback() {
			continue
		}
		d.addField(a.field, fmt.Sprintf("%s is not on loopback and there are no keys", a.value), "set tls, or use a loopback address")
	}
}
