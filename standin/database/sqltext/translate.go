package sqltext

import (
	"strings"
)

// storedTypes maps PostgreSQL types to the declared types in SQLite. The declared type determines the
// affinity of the column and the type of result columns.
var storedTypes = map[string]string{
	"bigint": "INT8", "int8": "INT8", "integer": "INT4", "int": "INT4", "int4": "INT4",
	"smallint": "INT2", "int2": "INT2", "boolean": "BOOLEAN", "bool": "BOOLEAN",
	"text": "TEXT", "varchar": "TEXT", "character varying": "TEXT", "char": "TEXT",
	"character": "TEXT", "bytea": "BLOB", "double precision": "DOUBLE", "float8": "DOUBLE",
	"real": "DOUBLE", "float4": "DOUBLE", "numeric": "NUMERIC", "decimal": "NUMERIC",
	"timestamptz": "TIMESTAMPTZ", "timestamp with time zone": "TIMESTAMPTZ",
	"timestamp": "TIMESTAMP", "timestamp without time zone": "TIMESTAMP", "date": "DATE",
	"json": "JSON_TEXT", "jsonb": "JSONB_TEXT", "uuid": "UUID_TEXT",
}

// rewriter copies a statement and replaces parts of it.
type rewriter struct {
	sql    string
	tokens []token
	out    strings.Builder
	// copied is the index in sql up to which the text has been copied or replaced.
	copied int
	// seriesColumns are the names of the columns that generate_series yields.
	seriesColumns []string
}

// translate returns the statement in the dialect of SQLite and the names of the columns that
// generate_series yields.
func translate(sql string, tokens []token, kind Kind) (translated string, series []string) {
	r := &rewriter{sql: sql, tokens: tokens}
	if tokens[0].is("truncate") {
		return truncateAsDelete(tokens), nil
	}
	for i := 0; i < len(tokens); {
		i = r.step(i, kind)
	}
	r.out.WriteString(sql[r.copied:])
	return r.out.String(), r.seriesColumns
}

// step translates the token at index i and returns the index of the next token to translate.
func (r *rewriter) step(i int, kind Kind) int {
	t := r.tokens[i]
	switch {
	case t.kind == kindParameter:
		return r.replace(i, i+1, "?"+t.text)
	case t.is("::") && i+1 < len(r.tokens):
		_, end := typeName(r.tokens, i+1)
		return r.replace(i, end, "")
	case t.is("current_timestamp"):
		return r.replace(i, i+1, "now()")
	case t.is("ilike"):
		return r.replace(i, i+1, "LIKE")
	case t.is("public") && i+1 < len(r.tokens) && r.tokens[i+1].is("."):
		return r.replace(i, i+2, "")
	case startsLockClause(r.tokens, i):
		return r.replace(i, lockClauseEnd(r.tokens, i), "")
	case t.is("any") && i > 0 && r.tokens[i-1].is("="):
		return r.arrayMembership(i)
	case t.is("generate_series"):
		return r.series(i)
	case kind == KindSchema:
		return r.schemaStep(i)
	default:
		return i + 1
	}
}

// replace replaces the tokens from first up to but not including end by text, and returns the index
// of the next token.
func (r *rewriter) replace(first, end int, text string) int {
	r.out.WriteString(r.sql[r.copied:r.tokens[first].start])
	r.out.WriteString(text)
	end = min(end, len(r.tokens))
	r.copied = r.tokens[end-1].end
	return end
}

// arrayMembership translates "= ANY($1)" to "IN (SELECT value FROM json_each(?1))".
func (r *rewriter) arrayMembership(i int) int {
	if i+3 >= len(r.tokens) || !r.tokens[i+1].is("(") || r.tokens[i+2].kind != kindParameter {
		return i + 1
	}
	end := i + 3
	for end < len(r.tokens) && !r.tokens[end].is(")") {
		end++
	}
	text := "IN (SELECT value FROM json_each(?" + r.tokens[i+2].text + "))"
	// The equals sign, at i-1, has not been copied yet, so it can still be replaced.
	return r.replace(i-1, end+1, text)
}

// series translates generate_series(first, last) to a recursive query. The column is named after the
// alias, as in PostgreSQL.
func (r *rewriter) series(i int) int {
	if i+1 >= len(r.tokens) || !r.tokens[i+1].is("(") {
		return i + 1
	}
	first, last, end := r.seriesBounds(i + 2)
	column, next := r.seriesAlias(end)
	r.seriesColumns = append(r.seriesColumns, column)
	query := "(WITH RECURSIVE series(" + column + ") AS (SELECT " + first + " UNION ALL SELECT " +
		column + " + 1 FROM series WHERE " + column + " < " + last + ") SELECT " + column + " FROM series)"
	if i > 0 && r.tokens[i-1].is("select") {
		return r.replace(i, end, column+" FROM "+query)
	}
	return r.replace(i, next, query+" AS "+column)
}

// seriesBounds returns the two arguments that start at index i and the index after the closing
// parenthesis.
func (r *rewriter) seriesBounds(i int) (first, last string, end int) {
	depth, start := 1, i
	for end = i; end < len(r.tokens); end++ {
		depth += depthChange(r.tokens[end])
		if depth == 1 && r.tokens[end].is(",") && first == "" {
			first = r.translated(start, end)
			start = end + 1
		}
		if depth == 0 {
			break
		}
	}
	return first, r.translated(start, end), end + 1
}

// translated returns the translation of the tokens from start up to but not including end.
func (r *rewriter) translated(start, end int) string {
	if start >= end {
		return ""
	}
	part := r.sql[r.tokens[start].start:r.tokens[end-1].end]
	sql, _ := translate(part, tokenize(part), KindRead)
	return sql
}

// seriesAlias returns the column name that the alias at index i gives and the index after the alias.
// Without an alias, the name is generate_series and the index i.
func (r *rewriter) seriesAlias(i int) (column string, next int) {
	const fallback = "generate_series"
	j := i
	if j < len(r.tokens) && r.tokens[j].is("as") {
		j++
	}
	if j >= len(r.tokens) || !r.tokens[j].isName() || endsSelectList(r.tokens[j]) {
		return fallback, i
	}
	if j+3 < len(r.tokens) && r.tokens[j+1].is("(") && r.tokens[j+3].is(")") {
		return r.tokens[j+2].text, j + 4
	}
	return r.tokens[j].text, j + 1
}

// schemaStep translates the column type or the default at index i of CREATE TABLE or ALTER TABLE, if
// there is one, and returns the index of the next token to translate.
func (r *rewriter) schemaStep(i int) int {
	t := r.tokens[i]
	switch {
	case t.is("bigserial") || t.is("serial"):
		return r.serial(i, i+1)
	case t.is("default") && i+2 < len(r.tokens) && r.tokens[i+2].is("("):
		return r.defaultCall(i)
	case t.kind == kindWord && i > 0 && r.tokens[i-1].isName() && !r.tokens[i-1].is("as"):
		return r.storedType(i)
	default:
		return i + 1
	}
}

// storedType translates the column type at index i, if there is one, and returns the index of the next
// token to translate.
func (r *rewriter) storedType(i int) int {
	name, end := typeName(r.tokens, i)
	if end < len(r.tokens) && r.tokens[end].is("generated") && hasSequence(r.tokens[end:], "identity") {
		return r.serial(i, end+indexOf(r.tokens[end:], "identity")+1)
	}
	if stored, ok := storedTypes[name]; ok {
		return r.replace(i, end, stored)
	}
	return i + 1
}

// serial translates the type of a serial or identity column to that of the row ID, which SQLite
// assigns automatically. The type consists of the tokens from i up to but not including end.
func (r *rewriter) serial(i, end int) int {
	if end+1 < len(r.tokens) && r.tokens[end].is("primary") && r.tokens[end+1].is("key") {
		end += 2
	}
	return r.replace(i, end, "INTEGER PRIMARY KEY AUTOINCREMENT")
}

// defaultCall adds the parentheses that SQLite requires around a function call after DEFAULT.
func (r *rewriter) defaultCall(i int) int {
	depth := 0
	for end := i + 2; end < len(r.tokens); end++ {
		depth += depthChange(r.tokens[end])
		if depth == 0 {
			call := r.sql[r.tokens[i+1].start:r.tokens[end].end]
			return r.replace(i, end+1, "DEFAULT ("+call+")")
		}
	}
	return i + 1
}

// truncateAsDelete translates TRUNCATE to a DELETE without a condition. It uses only the first table.
func truncateAsDelete(tokens []token) string {
	names := namesAfter(tokens[1:])
	if len(names) == 0 {
		return "DELETE FROM"
	}
	return `DELETE FROM "` + names[0] + `"`
}
