def work():
    for _ in range(3000):
        pass

def on_taken(q): work()
def on_admission(q): work()
def on_send(q): work()
def on_answered(q): work()
def on_answer(q): work()
def on_ended(q): work()
