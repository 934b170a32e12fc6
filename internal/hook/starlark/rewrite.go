package starlark

// The rewriting of a script: each operation that must be charged becomes a call of its
// guard. Positions are kept, so errors name the line of the original script.

import (
	"fmt"

	"go.starlark.net/syntax"
)

var binaryOps = map[syntax.Token]bool{
	syntax.PLUS: true, syntax.MINUS: true, syntax.STAR: true, syntax.SLASH: true, syntax.SLASHSLASH: true,
	syntax.PERCENT: true, syntax.AMP: true, syntax.PIPE: true, syntax.CIRCUMFLEX: true, syntax.LTLT: true,
	syntax.GTGT: true, syntax.EQL: true, syntax.NEQ: true, syntax.LT: true, syntax.LE: true, syntax.GT: true,
	syntax.GE: true, syntax.IN: true, syntax.NOT_IN: true,
}

// augmented maps each assignment operator of the form x op= y to its binary operator.
var augmented = map[syntax.Token]syntax.Token{
	syntax.PLUS_EQ: syntax.PLUS, syntax.MINUS_EQ: syntax.MINUS, syntax.STAR_EQ: syntax.STAR, syntax.SLASH_EQ: syntax.SLASH,
	syntax.SLASHSLASH_EQ: syntax.SLASHSLASH, syntax.PERCENT_EQ: syntax.PERCENT, syntax.AMP_EQ: syntax.AMP,
	syntax.PIPE_EQ: syntax.PIPE, syntax.CIRCUMFLEX_EQ: syntax.CIRCUMFLEX, syntax.LTLT_EQ: syntax.LTLT,
	syntax.GTGT_EQ: syntax.GTGT,
}

// rewriter rewrites syntax trees in place. It keeps the first error.
type rewriter struct{ err error }

// rewrite rewrites a script in place. It returns an error if the script uses something that
// hooks can't use.
func rewrite(f *syntax.File) error {
	r := &rewriter{}
	r.block(f.Stmts)
	return r.err
}

func (r *rewriter) fail(pos syntax.Position, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", pos, fmt.Sprintf(format, args...))
	}
}

// guard returns a call of a guard at the position of the node original.
func guard(name string, original syntax.Node, args ...syntax.Expr) syntax.Expr {
	start, end := original.Span()
	return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: start, Name: guardPrefix + name}, Lparen: start, Args: args, Rparen: end}
}

func (r *rewriter) block(stmts []syntax.Stmt) {
	for _, s := range stmts {
		r.stmt(s)
	}
}

func (r *rewriter) stmt(s syntax.Stmt) {
	switch s := s.(type) {
	case *syntax.AssignStmt:
		op, isAugmented := augmented[s.Op]
		s.RHS = r.expr(s.RHS)
		if !isAugmented {
			s.LHS = r.target(s.LHS)
			return
		}
		if !isPlain(s.LHS) {
			r.fail(s.OpPos, "the left side of %s must be made of names, attributes and indexes alone: write the assignment out", s.Op)
			return
		}
		name := op.String()
		if op == syntax.PLUS {
			name = "grow"
		}
		s.RHS = guard(name, s, r.expr(copyPlain(s.LHS)), s.RHS)
		s.LHS, s.Op = r.target(s.LHS), syntax.EQ
	case *syntax.DefStmt:
		r.params(s.Params)
		r.block(s.Body)
	case *syntax.ExprStmt:
		s.X = r.expr(s.X)
	case *syntax.ForStmt:
		s.Vars, s.X = r.target(s.Vars), r.expr(s.X)
		r.block(s.Body)
	case *syntax.WhileStmt:
		s.Cond = r.expr(s.Cond)
		r.block(s.Body)
	case *syntax.IfStmt:
		s.Cond = r.expr(s.Cond)
		r.block(s.True)
		r.block(s.False)
	case *syntax.ReturnStmt:
		if s.Result != nil {
			s.Result = r.expr(s.Result)
		}
	case *syntax.LoadStmt:
		r.fail(s.Load, "load: a hook is a single file")
	case *syntax.BranchStmt:
	default:
		start, _ := s.Span()
		r.fail(start, "hooks can't use this statement")
	}
}

// isPlain reports whether an expression can be evaluated twice without side effects: it is
// made of names, literals, attributes and indexes.
func isPlain(e syntax.Expr) bool {
	switch e := e.(type) {
	case *syntax.Ident, *syntax.Literal:
		return true
	case *syntax.ParenExpr:
		return isPlain(e.X)
	case *syntax.DotExpr:
		return isPlain(e.X)
	case *syntax.IndexExpr:
		return isPlain(e.X) && isPlain(e.Y)
	}
	return false
}

// copyPlain copies a plain expression. The copy must not share nodes with the original,
// because the resolver modifies the nodes that it visits.
func copyPlain(e syntax.Expr) syntax.Expr {
	switch e := e.(type) {
	case *syntax.Ident:
		return &syntax.Ident{NamePos: e.NamePos, Name: e.Name}
	case *syntax.Literal:
		c := *e
		return &c
	case *syntax.ParenExpr:
		return copyPlain(e.X)
	case *syntax.DotExpr:
		return &syntax.DotExpr{X: copyPlain(e.X), Dot: e.Dot, NamePos: e.NamePos, Name: copyPlain(e.Name).(*syntax.Ident)}
	case *syntax.IndexExpr:
		return &syntax.IndexExpr{X: copyPlain(e.X), Lbrack: e.Lbrack, Y: copyPlain(e.Y), Rbrack: e.Rbrack}
	}
	return e
}

// target rewrites the target of an assignment.
func (r *rewriter) target(e syntax.Expr) syntax.Expr {
	switch e := e.(type) {
	case *syntax.Ident:
		return e
	case *syntax.ParenExpr:
		e.X = r.target(e.X)
	case *syntax.TupleExpr:
		for i := range e.List {
			e.List[i] = r.target(e.List[i])
		}
	case *syntax.ListExpr:
		for i := range e.List {
			e.List[i] = r.target(e.List[i])
		}
	case *syntax.IndexExpr:
		e.X = r.expr(e.X)
		e.Y = guard("key", e.Y, r.expr(e.Y))
	case *syntax.DotExpr:
		e.X = r.expr(e.X)
	}
	return e
}

func (r *rewriter) params(params []syntax.Expr) {
	for _, p := range params {
		if b, ok := p.(*syntax.BinaryExpr); ok { // a default value
			b.Y = r.expr(b.Y)
		}
	}
}

func (r *rewriter) list(l []syntax.Expr) {
	for i := range l {
		l[i] = r.expr(l[i])
	}
}

func (r *rewriter) expr(e syntax.Expr) syntax.Expr {
	switch e := e.(type) {
	case *syntax.BinaryExpr:
		e.X, e.Y = r.expr(e.X), r.expr(e.Y)
		if binaryOps[e.Op] {
			return guard(e.Op.String(), e, e.X, e.Y)
		}
	case *syntax.UnaryExpr:
		if e.X == nil {
			return e
		}
		e.X = r.expr(e.X)
		if e.Op == syntax.MINUS || e.Op == syntax.PLUS || e.Op == syntax.TILDE {
			return guard("unary"+e.Op.String(), e, e.X)
		}
	case *syntax.CallExpr:
		args := []syntax.Expr{r.expr(e.Fn)}
		for _, a := range e.Args {
			switch a := a.(type) {
			case *syntax.BinaryExpr:
				if a.Op == syntax.EQ { // a keyword argument
					a.Y = r.expr(a.Y)
					args = append(args, a)
					continue
				}
			case *syntax.UnaryExpr:
				if a.Op == syntax.STAR || a.Op == syntax.STARSTAR {
					a.X = guard("size", a.X, r.expr(a.X))
					args = append(args, a)
					continue
				}
			}
			args = append(args, r.expr(a))
		}
		return guard("call", e, args...)
	case *syntax.Comprehension:
		for _, c := range e.Clauses {
			switch c := c.(type) {
			case *syntax.ForClause:
				c.Vars, c.X = r.target(c.Vars), r.expr(c.X)
			case *syntax.IfClause:
				c.Cond = r.expr(c.Cond)
			}
		}
		e.Body = r.expr(e.Body)
	case *syntax.CondExpr:
		e.Cond, e.True, e.False = r.expr(e.Cond), r.expr(e.True), r.expr(e.False)
	case *syntax.DictEntry:
		e.Key, e.Value = guard("key", e.Key, r.expr(e.Key)), r.expr(e.Value)
	case *syntax.DictExpr:
		r.list(e.List)
	case *syntax.DotExpr:
		e.X = r.expr(e.X)
	case *syntax.IndexExpr:
		e.X = r.expr(e.X)
		e.Y = guard("key", e.Y, r.expr(e.Y))
	case *syntax.LambdaExpr:
		r.params(e.Params)
		e.Body = r.expr(e.Body)
	case *syntax.ListExpr:
		r.list(e.List)
	case *syntax.TupleExpr:
		r.list(e.List)
	case *syntax.ParenExpr:
		e.X = r.expr(e.X)
	case *syntax.SliceExpr:
		e.X = guard("size", e.X, r.expr(e.X))
		for _, p := range []*syntax.Expr{&e.Lo, &e.Hi, &e.Step} {
			if *p != nil {
				*p = r.expr(*p)
			}
		}
	case *syntax.Ident, *syntax.Literal:
	default:
		start, _ := e.Span()
		r.fail(start, "hooks can't use this expression")
	}
	return e
}
