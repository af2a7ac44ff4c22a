package database

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zombiezen.com/go/sqlite"
)

// evalContext holds the values that SQL functions read while a statement runs. A replica sets the
// same time and seed when it replays the statement, so that now() and random() return the same
// values as on the primary.
type evalContext struct {
	// now is the start of the transaction in timestampLayout.
	now string
	// seed initializes the random number generator of the statement.
	seed   uint64
	random *rand.Rand
	// processID and database are those of the session.
	processID uint32
	database  string
	// recovering is true unless the target is a primary.
	recovering bool
	settings   map[string]string
	// assign changes a setting of the session, like SET.
	assign func(name, value string, local bool)
}

// startTransaction sets the time that now() returns.
func (e *evalContext) startTransaction(now string) {
	e.now = now
}

// startStatement sets the seed of the next statement.
func (e *evalContext) startStatement(seed uint64) {
	e.seed = seed
	e.random = nil
}

// rng returns the random number generator of the statement.
func (e *evalContext) rng() *rand.Rand {
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.seed, 0))
	}
	return e.random
}

// scalar implements an SQL function that returns one value.
type scalar func(args []sqlite.Value) (sqlite.Value, error)

// registerFunctions adds the PostgreSQL functions that tests use.
func (c *sqlConn) registerFunctions() error {
	functions := []struct {
		name  string
		nargs int
		call  scalar
	}{
		{"now", 0, c.textFunction(func() string { return c.eval.now })},
		{"clock_timestamp", 0, c.textFunction(func() string { return c.eval.now })},
		{"version", 0, c.textFunction(func() string { return "PostgreSQL " + serverVersion + " (stand-in)" })},
		{"current_database", 0, c.textFunction(func() string { return c.eval.database })},
		{"gen_random_uuid", 0, c.textFunction(c.randomUUID)},
		{"random", 0, func([]sqlite.Value) (sqlite.Value, error) {
			return sqlite.FloatValue(c.eval.rng().Float64()), nil
		}},
		{"pg_backend_pid", 0, func([]sqlite.Value) (sqlite.Value, error) {
			return sqlite.IntegerValue(int64(c.eval.processID)), nil
		}},
		{"pg_is_in_recovery", 0, func([]sqlite.Value) (sqlite.Value, error) {
			return sqlite.IntegerValue(boolDatum(c.eval.recovering).Int), nil
		}},
		{"current_setting", 1, c.currentSetting},
		{"current_setting", 2, c.currentSetting},
		{"set_config", 3, c.setConfig},
		{"pg_sleep", 1, c.sleep},
	}
	for _, f := range functions {
		impl := &sqlite.FunctionImpl{
			NArgs:         f.nargs,
			AllowIndirect: true,
			Scalar: func(_ sqlite.Context, args []sqlite.Value) (sqlite.Value, error) {
				return f.call(args)
			},
		}
		if err := c.conn.CreateFunction(f.name, impl); err != nil {
			return fmt.Errorf("register %s: %w", f.name, err)
		}
	}
	return nil
}

func (c *sqlConn) textFunction(value func() string) scalar {
	return func([]sqlite.Value) (sqlite.Value, error) {
		return sqlite.TextValue(value()), nil
	}
}

func (c *sqlConn) randomUUID() string {
	high, low := c.eval.rng().Uint64(), c.eval.rng().Uint64()
	return fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x",
		high>>32, high>>16&0xffff, high&0xfff, low>>48&0x3fff|0x8000, low&0xffffffffffff)
}

func (c *sqlConn) currentSetting(args []sqlite.Value) (sqlite.Value, error) {
	return sqlite.TextValue(c.eval.settings[args[0].Text()]), nil
}

func (c *sqlConn) setConfig(args []sqlite.Value) (sqlite.Value, error) {
	c.eval.assign(args[0].Text(), args[1].Text(), args[2].Int64() != 0)
	return args[1], nil
}

// sleep waits for the given number of seconds or for an interrupt.
func (c *sqlConn) sleep(args []sqlite.Value) (sqlite.Value, error) {
	timer := time.NewTimer(time.Duration(args[0].Float() * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return sqlite.TextValue(""), nil
	case <-c.interrupted():
		return sqlite.Value{}, sqlite.ResultInterrupt.ToError()
	}
}
