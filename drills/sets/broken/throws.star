# Throws once some of the query's parts are in.
def on_answered(q):
    if len([p for p in q.parts if p.served]) > 1:
        fail("halfway through")
