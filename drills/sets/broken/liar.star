# Asks for what no hook may have, another thing on each call.
def on_answer(q):
    lies = [{"value": "mine"}, {"whole": True}, {"server": "s-0-0"}, {"resend": True}, {"answer": "{}"}, {"id": "other"}, {"status": 200}]
    return lies[int(random() * len(lies))]
