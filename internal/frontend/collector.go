package frontend

import (
	"fmt"
	"slices"
	"sync"

	"github.com/papayacove/papayacove/api"
)

// maxPooledBatchBytes is the largest capacity of a message buffer that is returned to the pool.
const maxPooledBatchBytes = 32 << 10

// step is a message of the extended protocol that the frontend can answer itself.
type step struct {
	// kind is the type byte of the message.
	kind byte
	// object is S for a statement and P for a portal.
	object byte
	// statement is the statement that a Describe or Execute refers to; nil for other messages.
	statement *statement
}

// collector accumulates the messages of a batch and the properties that decide how the batch is routed.
type collector struct {
	messages []byte
	// lastOffset is the offset in messages of the message that was received last.
	lastOffset int
	// prepared are the definitions that the batch needs, and parsed the names on the target that it defines.
	prepared []api.PreparedStatement
	parsed   []string
	// changes are the changes that Parse and Close messages made to the prepared statements of the session.
	changes []statementChange
	// parsedUnnamed is true after a Parse without a name in this batch.
	parsedUnnamed bool
	// steps are the messages to answer when nothing of the batch has to be forwarded.
	steps []step
	// localPortals are the portals bound to statements that the frontend answers, by name.
	localPortals map[string]*statement
	hasLocal     bool
	hasForward   bool
	hasWrite     bool
	hasExecute   bool
	// usesOperationKey is true when a statement of the batch may write and therefore uses an operation key.
	usesOperationKey bool
	// hasPortal is true when a message binds or names a portal on the target.
	hasPortal   bool
	beginsBlock bool
	endsBlock   bool
	hints       hints
	// isPassedToRunner is true once a runner has received the messages. Their memory is not reused
	// from then on, because an abandoned peer call may still be sending them.
	isPassedToRunner bool
}

var collectors = sync.Pool{New: func() any { return new(collector) }}

func newCollector() *collector {
	return collectors.Get().(*collector)
}

// release returns the collector to the pool with the memory of its messages and steps, unless
// that of the messages is too large or a runner may still use it. Definitions are not reused,
// because runners may still refer to them.
func (c *collector) release() {
	messages := c.messages[:0]
	if c.isPassedToRunner || cap(messages) > maxPooledBatchBytes {
		messages = nil
	}
	steps := c.steps[:0]
	clear(c.steps)
	*c = collector{messages: messages, steps: steps}
	collectors.Put(c)
}

// body returns the message that was received last without its header.
func (c *collector) body() []byte {
	return c.messages[c.lastOffset+headerBytes:]
}

// replaceLast replaces the message that was received last by one with the given type byte and body.
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
	c.messages = append(c.messages[:c.lastOffset], replaced...)
}

// nameToParse returns the name on the target under which the batch may parse a statement. When the
// batch already parses or needs the derived name, a copy of the statement is parsed under another
// name, because no name may be parsed twice in one batch.
func (c *collector) nameToParse(p preparedStatement) string {
	name := p.name
	if c.hasName(name) {
		name = fmt.Sprintf("%s_%d", name, len(c.parsed)+1)
	}
	c.parsed = append(c.parsed, name)
	return name
}

// hasName reports whether the batch parses or needs a statement with this name on the target.
func (c *collector) hasName(name string) bool {
	isNamed := func(known api.PreparedStatement) bool { return known.Name == name }
	return slices.Contains(c.parsed, name) || slices.ContainsFunc(c.prepared, isNamed)
}

// requirePrepared lists the statement among those that the gate prepares before the batch, unless the batch parses or
// lists it already.
func (c *collector) requirePrepared(p preparedStatement) {
	if c.hasName(p.name) {
		return
	}
	c.prepared = append(c.prepared, p.message())
}

// addStatement adds the properties of a prepared statement that the batch binds.
func (c *collector) addStatement(p preparedStatement) {
	c.hasForward = true
	c.hasPortal = true
	c.recordAccess(p.access)
	c.beginsBlock = c.beginsBlock || p.block == blockBegins
	c.endsBlock = c.endsBlock || p.block == blockEnds
	c.usesOperationKey = c.usesOperationKey || p.usesOperationKey
	c.hints.merge(p.hints)
}

// recordAccess makes the batch a write unless access is read.
func (c *collector) recordAccess(access api.ExecuteRequestAccess) {
	if access != api.ExecuteRequestAccessRead {
		c.hasWrite = true
	}
}

// addLocalStep adds a message that only the frontend can answer. A batch with such a message must not have one that
// is forwarded.
func (c *collector) addLocalStep(s step) {
	c.hasLocal = true
	c.steps = append(c.steps, s)
}

// addStep adds a message that the frontend answers when nothing of the batch is forwarded, and the target otherwise.
func (c *collector) addStep(s step) {
	c.steps = append(c.steps, s)
}

// access returns read when the batch may run on a replica, and write otherwise.
func (c *collector) access() api.ExecuteRequestAccess {
	if c.hasWrite {
		return api.ExecuteRequestAccessWrite
	}
	return api.ExecuteRequestAccessRead
}
