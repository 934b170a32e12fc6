def on_taken(q):
    if q.text == "loop":
        while True:
            pass
    if q.text == "closed":
        return {"refuse": "clinic 7 is closed", "retry_after_ms": 2000}
    if q.text == "tag":
        return {"tags": {"gov": "amman", "odd": "a, b=c"}, "notes": {"gov": "amman"}}
    if q.text == "class":
        return {"class": "trip-report"}
    if q.text == "weaker":
        return {"class": "free-slots"}
    if q.text == "short":
        return {"left_ms": 300}
    if q.text.startswith("claim "):
        return {q.text[6:]: "x"}

def on_admission(q):
    if q.text == "drop":
        return {"drop": [3]}
    if q.text == "drop-all":
        return {"drop": [p.shard for p in q.parts]}

def on_answered(q):
    if q.text == "halfway" and q.part.shard == 3:
        fail("on purpose")
    if q.text == "value" and q.part.shard == 2:
        return {"drop": [2], "notes": {"dropped": q.part.value}}

def on_answer(q):
    if q.text == "not-whole":
        return {"not_whole": True}
    if q.text == "late":
        return {"refuse": "thought better of it"}
