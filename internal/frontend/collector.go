package frontend

import (
	"fmt"
	"slices"
	"sync"

	"github.com/papayacove/papayacove/api"
)

// maxPooledBatchBytes is the capacity up to which the memory of a batch is used again.
const maxPooledBatchBytes = 32 << 10

// step is a message of the extended protocol that the frontend can answer itself.
type step struct {
	kind byte
	// object is S for a statement and P for a portal.
	object    byte
	statement *statement
}

// collector gathers the messages of a batch and what routing needs to know of them.
type collector struct {
	messages []byte
	// last is the offset of the message that was received last.
	last int
	// prepared are the definitions that the batch needs, and parsed the names that it defines.
	prepared []api.PreparedStatement
	parsed   []string
	// changes are those that Parse and Close have made to the statements of the session.
	changes []statementChange
	// parsedUnnamed is true after a Parse without a name in this batch.
	parsedUnnamed bool
	// steps answer the batch when no message has to be forwarded.
	steps        []step
	localPortals map[string]*statement
	hasLocal     bool
	hasForward   bool
	hasWrite     bool
	hasExecute   bool
	// takesKey is true when a statement of the batch may write and so uses an operation key.
	takesKey bool
	// hasPortal is true when a message binds or names a portal on the target.
	hasPortal   bool
	beginsBlock bool
	endsBlock   bool
	hints       hints
	// isHandedOver is true once a runner has seen the messages. Their memory is not used again,
	// since a peer call that was abandoned may still be sending them.
	isHandedOver bool
}

var collectors = sync.Pool{New: func() any { return new(collector) }}

func newCollector() *collector {
	return collectors.Get().(*collector)
}

// release returns the memory to the pool. Definitions and portals are dropped, since runners may
// still refer to the former.
func (c *collector) release() {
	messages := c.messages[:0]
	if c.isHandedOver || cap(messages) > maxPooledBatchBytes {
		messages = nil
	}
	steps := c.steps[:0]
	clear(c.steps)
	*c = collector{messages: messages, steps: steps}
	collectors.Put(c)
}

// body returns the message that was received last without its header.
func (c *collector) body() []byte {
	return c.messages[c.last+headerBytes:]
}

// replaceLast puts another message in the place of the one received last.
func (c *collector) replaceLast(kind byte, parts ...[]byte) {
	length := lengthBytes
	for _, part := range parts {
		length += len(part)
	}
	replaced := make([]byte, 0, length+1)
	replaced = append(replaced, kind, byte(length>>24), byte(length>>16), byte(length>>8), byte(length))
	for _, part := range parts {
		replaced = append(replaced, part...)
	}
	c.messages = append(c.messages[:c.last], replaced...)
}

// nameToParse returns the name under which a batch may parse a statement. A name that the batch has
// parsed or needs is taken, so that a copy of the statement is parsed under another name.
func (c *collector) nameToParse(p preparedStatement) string {
	name := p.name
	if c.knows(name) {
		name = fmt.Sprintf("%s_%d", name, len(c.parsed)+1)
	}
	c.parsed = append(c.parsed, name)
	return name
}

func (c *collector) knows(name string) bool {
	isNamed := func(known api.PreparedStatement) bool { return known.Name == name }
	return slices.Contains(c.parsed, name) || slices.ContainsFunc(c.prepared, isNamed)
}

// need makes sure that the gate prepares the statement before the batch.
func (c *collector) need(p preparedStatement) {
	if c.knows(p.name) {
		return
	}
	c.prepared = append(c.prepared, p.message())
}

// use notes what a statement of the batch does.
func (c *collector) use(p preparedStatement) {
	c.hasForward = true
	c.hasPortal = true
	c.noteAccess(p.access)
	c.beginsBlock = c.beginsBlock || p.block == blockBegins
	c.endsBlock = c.endsBlock || p.block == blockEnds
	c.takesKey = c.takesKey || p.takesKey
	c.hints.merge(p.hints)
}

func (c *collector) noteAccess(access api.ExecuteRequestAccess) {
	if access != api.ExecuteRequestAccessRead {
		c.hasWrite = true
	}
}

// answerLocally notes a message that the frontend answers.
func (c *collector) answerLocally(s step) {
	c.hasLocal = true
	c.steps = append(c.steps, s)
}

// answerAnywhere notes a message that the frontend answers when nothing is forwarded.
func (c *collector) answerAnywhere(s step) {
	c.steps = append(c.steps, s)
}

func (c *collector) access() api.ExecuteRequestAccess {
	if c.hasWrite {
		return api.ExecuteRequestAccessWrite
	}
	return api.ExecuteRequestAccessRead
}
