package database

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zombiezen.com/go/sqlite"
)

// evaluation is what functions read while a statement runs. A replica sets the same values when
// it replays the statement, so that now() and random() give what they gave on the primary.
type evaluation struct {
	// now is the start of the transaction as stored text.
	now string
	// seed starts the random numbers of the statement.
	seed   uint64
	random *rand.Rand
	// processID and database belong to the session.
	processID uint32
	database  string
	// recovering is true on a target that is no primary.
	recovering bool
	settings   map[string]string
	// assign sets a value of the session, as SET does.
	assign func(name, value string, local bool)
}

// startTransaction sets the time that now() returns.
func (e *evaluation) startTransaction(now string) {
	e.now = now
}

// startStatement sets the random numbers of the next statement.
func (e *evaluation) startStatement(seed uint64) {
	e.seed = seed
	e.random = nil
}

// rng returns the random numbers of the statement.
func (e *evaluation) rng() *rand.Rand {
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.seed, 0))
	}
	return e.random
}

type scalar func(args []sqlite.Value) (sqlite.Value, error)

// registerFunctions adds the functions of PostgreSQL that tests use.
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
