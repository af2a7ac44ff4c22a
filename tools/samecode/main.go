// Command samecode compares the Go code of two commits without its comments, to show that a change only
// reworded comments and texts and renamed identifiers.
//
//	go run tools/samecode/main.go [-v] BASE [HEAD] [-- PATH...]
//
// It reports, per file: code whose shape differs, numbers that differ, struct tags that differ, strings that
// differ, and renames that are not one to one within a function. Shape, numbers and tags end it with status 1.
// It reads files in pairs as git's rename detection gives them; files that were added, removed, split or merged
// are listed and have to be read. It does not prove that a rename kept its meaning: the compiler and the tests
// do that, and names that reflection, gob, JSON or TOML write out have to be compared by hand.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"go/scanner"
	"go/token"
	"maps"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

type lexeme struct {
	tok  token.Token
	lit  string
	line int
}

// unit is one top-level declaration.
type unit []lexeme

type source struct {
	units   []unit
	tags    []string
	imports []string
}

var tagPattern = regexp.MustCompile("^`([A-Za-z_]+:\"[^\"]*\" ?)+`$")

func git(args ...string) []byte {
	out, err := exec.Command("git", args...).Output()
	if err != nil {
		fmt.Fprintf(os.Stderr, "git %s: %v\n", strings.Join(args, " "), err)
		os.Exit(2)
	}
	return out
}

// lex splits a file into declarations and leaves out what formatting decides: comments, the kind of a
// semicolon, the comma before a closing bracket. Imports and struct tags are kept apart.
func lex(name string, text []byte) source {
	fset := token.NewFileSet()
	file := fset.AddFile(name, -1, len(text))
	var s scanner.Scanner
	s.Init(file, text, func(p token.Position, msg string) { fmt.Printf("%s: %s\n", p, msg) }, 0)
	var src source
	var current unit
	depth, inImport := 0, false
	for {
		pos, tok, lit := s.Scan()
		if tok == token.EOF {
			break
		}
		switch tok {
		case token.LPAREN, token.LBRACE, token.LBRACK:
			depth++
		case token.RPAREN, token.RBRACE, token.RBRACK:
			depth--
			if n := len(current); n > 0 && (current[n-1].tok == token.COMMA || current[n-1].tok == token.SEMICOLON) {
				current = current[:n-1]
			}
		case token.SEMICOLON:
			lit = ";"
			if depth == 0 {
				if len(current) > 0 && !inImport {
					src.units = append(src.units, current)
				}
				current, inImport = nil, false
				continue
			}
		case token.STRING:
			if tagPattern.MatchString(lit) {
				src.tags = append(src.tags, lit)
				continue
			}
			if inImport {
				src.imports = append(src.imports, lit)
			}
		case token.IMPORT:
			inImport = true
		}
		current = append(current, lexeme{tok, lit, fset.Position(pos).Line})
	}
	if len(current) > 0 && !inImport {
		src.units = append(src.units, current)
	}
	return src
}

type report struct {
	hard, soft []string
	renames    map[string]int
	texts      int
}

func (r *report) compare(oldName, newName string, before, after source) {
	hard := func(format string, args ...any) { r.hard = append(r.hard, fmt.Sprintf(format, args...)) }
	slices.Sort(before.tags)
	slices.Sort(after.tags)
	if !slices.Equal(before.tags, after.tags) {
		hard("%s: struct tags differ: %v", newName, difference(before.tags, after.tags))
	}
	if len(before.imports) != len(after.imports) {
		r.soft = append(r.soft, fmt.Sprintf("%s: imports: %v", newName, difference(before.imports, after.imports)))
	}
	if len(before.units) != len(after.units) {
		hard("%s: %d declarations before, %d after", newName, len(before.units), len(after.units))
		return
	}
	for i := range before.units {
		r.compareUnit(oldName, newName, before.units[i], after.units[i], hard)
	}
}

func (r *report) compareUnit(oldName, newName string, a, b unit, hard func(string, ...any)) {
	forward, backward := map[string]string{}, map[string]string{}
	for i := 0; i < max(len(a), len(b)); i++ {
		if i >= len(a) || i >= len(b) {
			hard("%s:%d -> %s:%d: code is longer or shorter", oldName, a[min(i, len(a)-1)].line, newName, b[min(i, len(b)-1)].line)
			return
		}
		x, y := a[i], b[i]
		if x.tok != y.tok {
			hard("%s:%d -> %s:%d: shape differs: %s %s, now %s %s", oldName, x.line, newName, y.line, x.tok, x.lit, y.tok, y.lit)
			return
		}
		switch {
		case x.tok == token.IDENT:
			if was, seen := forward[x.lit]; seen && was != y.lit {
				r.soft = append(r.soft, fmt.Sprintf("%s:%d: %s became %s and %s in one declaration", newName, y.line, x.lit, was, y.lit))
			}
			if was, seen := backward[y.lit]; seen && was != x.lit {
				r.soft = append(r.soft, fmt.Sprintf("%s:%d: %s and %s both became %s in one declaration", newName, y.line, was, x.lit, y.lit))
			}
			forward[x.lit], backward[y.lit] = y.lit, x.lit
			if x.lit != y.lit {
				r.renames[x.lit+" -> "+y.lit]++
			}
		case x.lit == y.lit:
		case x.tok == token.STRING:
			r.texts++
			r.soft = append(r.soft, fmt.Sprintf("%s:%d: text %s, now %s", newName, y.line, x.lit, y.lit))
		default:
			hard("%s:%d -> %s:%d: %s, now %s", oldName, x.line, newName, y.line, x.lit, y.lit)
		}
	}
}

func difference(a, b []string) string {
	count := map[string]int{}
	for _, s := range a {
		count[s]--
	}
	for _, s := range b {
		count[s]++
	}
	var out []string
	for _, s := range slices.Sorted(maps.Keys(count)) {
		if count[s] != 0 {
			out = append(out, fmt.Sprintf("%+d %s", count[s], s))
		}
	}
	return strings.Join(out, ", ")
}

func main() {
	verbose := flag.Bool("v", false, "list texts and doubtful renames, not only their number")
	flag.Parse()
	args := flag.Args()
	var paths []string
	if i := slices.Index(args, "--"); i >= 0 {
		args, paths = args[:i], args[i+1:]
	}
	if len(args) < 1 || len(args) > 2 {
		fmt.Fprintln(os.Stderr, "usage: samecode [-v] BASE [HEAD] [-- PATH...]")
		os.Exit(2)
	}
	base, head := args[0], "HEAD"
	if len(args) == 2 {
		head = args[1]
	}
	if len(paths) == 0 {
		paths = []string{"*.go"}
	}
	list := string(git(append([]string{"diff", "--name-status", "-M40%", "-l0", base, head, "--"}, paths...)...))
	r := &report{renames: map[string]int{}}
	pairs := 0
	for row := range strings.Lines(list) {
		f := strings.Split(strings.TrimSpace(row), "\t")
		if !strings.HasSuffix(f[len(f)-1], ".go") {
			continue
		}
		switch f[0][0] {
		case 'M', 'R':
			pairs++
			r.compare(f[1], f[len(f)-1], lex(f[1], git("show", base+":"+f[1])), lex(f[len(f)-1], git("show", head+":"+f[len(f)-1])))
		default:
			r.soft = append(r.soft, "read by eye: "+strings.Join(f, " "))
		}
	}
	if *verbose {
		for _, s := range r.soft {
			fmt.Println(s)
		}
		names := slices.Collect(maps.Keys(r.renames))
		slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(r.renames[b], r.renames[a]), cmp.Compare(a, b)) })
		for _, n := range names {
			fmt.Printf("renamed %s (%d)\n", n, r.renames[n])
		}
	}
	for _, s := range r.hard {
		fmt.Println("DIFFERS", s)
	}
	fmt.Printf("samecode: %d files, %d names renamed, %d texts reworded, %d to read by eye, %d differ in code\n",
		pairs, len(r.renames), r.texts, len(r.soft)-r.texts, len(r.hard))
	if len(r.hard) > 0 {
		os.Exit(1)
	}
}
