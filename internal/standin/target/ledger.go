package target

import "sync"

// Ledger records what targets executed. It models the databases of the users and is not
// lost when a target ends. It is safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	begun   map[Execution]int
	done    map[Execution]int
	aborted []Execution
}

// Execution identifies one operation on behalf of one business request.
type Execution struct {
	Service   string
	Operation string
	ID        string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{begun: make(map[Execution]int), done: make(map[Execution]int)}
}

func (l *Ledger) begin(e Execution) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begun[e]++
}

func (l *Ledger) finish(e Execution) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.done[e]++
}

func (l *Ledger) recordAborted(e Execution) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.aborted = append(l.aborted, e)
}

// Begun returns how often the execution was started.
func (l *Ledger) Begun(e Execution) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.begun[e]
}

// Done returns how often the execution ended with a response.
func (l *Ledger) Done(e Execution) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.done[e]
}

// Repeated returns the executions of the operation that were started more than once.
func (l *Ledger) Repeated(service, operation string) []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var repeated []Execution
	for execution, count := range l.begun {
		if count > 1 && execution.Service == service && execution.Operation == operation {
			repeated = append(repeated, execution)
		}
	}
	return repeated
}

// ExecutionCount is the number of times that one execution was started.
type ExecutionCount struct {
	Execution Execution `json:"execution"`
	Begun     int       `json:"begun"`
}

// List returns all executions that were started.
func (l *Ledger) List() []ExecutionCount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make([]ExecutionCount, 0, len(l.begun))
	for execution, begun := range l.begun {
		counts = append(counts, ExecutionCount{Execution: execution, Begun: begun})
	}
	return counts
}

// Total returns the number of started executions of the service.
func (l *Ledger) Total(service string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := 0
	for execution, count := range l.begun {
		if execution.Service == service {
			total += count
		}
	}
	return total
}

// Aborted returns the executions that a planned stop aborted.
func (l *Ledger) Aborted() []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Execution(nil), l.aborted...)
}
