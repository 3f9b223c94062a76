package respserver

import "troutusher/internal/connlimit"

// task is work for the event loop that another goroutine posted: a reply to
// deliver, or a function to run.
type task struct {
	RequestID
	reply string
	run   func()
}

// SendReply replies to a request, from any goroutine. The reply is dropped if
// its client has left.
func (s *Server) SendReply(id RequestID, text string) { s.post(task{RequestID: id, reply: text}) }

// runOnLoop has the event loop call a function.
func (s *Server) runOnLoop(run func()) { s.post(task{run: run}) }

func (s *Server) post(t task) {
	s.tasksMu.Lock()
	s.tasks = append(s.tasks, t)
	s.tasksMu.Unlock()
	if !s.wakePending.Swap(true) {
		s.poller.wake()
	}
}

// runTasks runs all tasks that were posted. It returns their slice, for the next
// call to reuse.
func (s *Server) runTasks(reuse []task) []task {
	s.wakePending.Store(false)
	s.tasksMu.Lock()
	tasks := s.tasks
	s.tasks = reuse[:0]
	s.tasksMu.Unlock()
	for i := range tasks {
		if t := &tasks[i]; t.run != nil {
			t.run()
		} else {
			s.deliverReply(t)
		}
		s.applyCloseActions()
	}
	clear(tasks)
	return tasks
}

// Inspect calls a function with the connection limiter on the event loop, and
// returns after it, or when the server has ended.
func (s *Server) Inspect(inspect func(*connlimit.Limiter)) {
	finished := make(chan struct{})
	s.runOnLoop(func() {
		inspect(s.limiter)
		close(finished)
	})
	select {
	case <-finished:
	case <-s.done:
	}
}
