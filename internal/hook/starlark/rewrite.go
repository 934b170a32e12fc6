package starlark

// The rewriting of a script: each operation that the meter must see becomes a
// call of its guard. Positions are kept, so errors name the line that was written.

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

// augmented are the operators of x op= y.
var augmented = map[syntax.Token]syntax.Token{
	syntax.PLUS_EQ: syntax.PLUS, syntax.MINUS_EQ: syntax.MINUS, syntax.STAR_EQ: syntax.STAR, syntax.SLASH_EQ: syntax.SLASH,
	syntax.SLASHSLASH_EQ: syntax.SLASHSLASH, syntax.PERCENT_EQ: syntax.PERCENT, syntax.AMP_EQ: syntax.AMP,
	syntax.PIPE_EQ: syntax.PIPE, syntax.CIRCUMFLEX_EQ: syntax.CIRCUMFLEX, syntax.LTLT_EQ: syntax.LTLT,
	syntax.GTGT_EQ: syntax.GTGT,
}

// rewriter keeps the first complaint.
type rewriter struct{ err error }

func rewrite(f *syntax.File) error {
	r := &rewriter{}
	r.block(f.Stmts)
	return r.err
}

func (r *rewriter) fail(at syntax.Position, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", at, fmt.Sprintf(format, args...))
	}
}

func guard(name string, at syntax.Node, args ...syntax.Expr) syntax.Expr {
	start, end := at.Span()
	return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: start, Name: mark + name}, Lparen: start, Args: args, Rparen: end}
}

func (r *rewriter) block(stmts []syntax.Stmt) {
	for _, s := range stmts {
		r.stmt(s)
	}
}

func (r *rewriter) stmt(s syntax.Stmt) {
	switch s := s.(type) {
	case *syntax.AssignStmt:
		op, more := augmented[s.Op]
		s.RHS = r.expr(s.RHS)
		if !more {
			s.LHS = r.target(s.LHS)
			return
		}
		if !plain(s.LHS) {
			r.fail(s.OpPos, "%s here needs a name, or an element named by plain names: write it out", s.Op)
			return
		}
		name := op.String()
		if op == syntax.PLUS {
			name = "grow"
		}
		s.RHS = guard(name, s, r.expr(again(s.LHS)), s.RHS)
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
		r.fail(s.Load, "load: a hook is one file")
	case *syntax.BranchStmt:
	default:
		start, _ := s.Span()
		r.fail(start, "a statement that hooks can't use")
	}
}

// plain tells whether an expression can stand twice without doing anything twice.
func plain(e syntax.Expr) bool {
	switch e := e.(type) {
	case *syntax.Ident, *syntax.Literal:
		return true
	case *syntax.ParenExpr:
		return plain(e.X)
	case *syntax.DotExpr:
		return plain(e.X)
	case *syntax.IndexExpr:
		return plain(e.X) && plain(e.Y)
	}
	return false
}

// again copies a plain expression: the resolver writes into what it visits.
func again(e syntax.Expr) syntax.Expr {
	switch e := e.(type) {
	case *syntax.Ident:
		return &syntax.Ident{NamePos: e.NamePos, Name: e.Name}
	case *syntax.Literal:
		c := *e
		return &c
	case *syntax.ParenExpr:
		return again(e.X)
	case *syntax.DotExpr:
		return &syntax.DotExpr{X: again(e.X), Dot: e.Dot, NamePos: e.NamePos, Name: again(e.Name).(*syntax.Ident)}
	case *syntax.IndexExpr:
		return &syntax.IndexExpr{X: again(e.X), Lbrack: e.Lbrack, Y: again(e.Y), Rbrack: e.Rbrack}
	}
	return e
}

// target rewrites what is assigned to.
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
		if b, ok := p.(*syntax.BinaryExpr); ok { // a default
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
				if a.Op == syntax.EQ { // a named argument
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
		r.fail(start, "an expression that hooks can't use")
	}
	return e
}
