def on_taken(q):
    if q.text == "strict":
        fail("on purpose")

def on_send(q):
    if q.text == "held" and q.part.shard == 3:
        return {"drop": [3]}
    if q.text == "slow":
        for _ in range(1000):
            pass

def on_answered(q):
    if q.text == "strict-halfway":
        fail("on purpose")
