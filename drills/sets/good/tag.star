def on_taken(q):
    return {"tags": {"governorate": "amman"}}

def on_answer(q):
    return {"notes": {"parts": str(len([p for p in q.parts if p.served]))}}
