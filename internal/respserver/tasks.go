package respserver

import "troutusher/internal/connlimit"

// task is work for the event loop that another goroutine posted: a reply to
// deliver, or a function to run.
type task struct {
	RequestID
	reply string
	run   func()
}

// SendReply sends the reply to a pending request. It may be called from any goroutine. The reply is
// dropped if the client has left.
func (s *Server) SendReply(id RequestID, text string) { s.post(task{RequestID: id, reply: text}) }

// runOnLoop makes the event loop call a function. It does not wait for that.
func (s *Server) runOnLoop(run func()) { s.post(task{run: run}) }

// post queues a task and wakes the event loop, unless a wake is already under way.
func (s *Server) post(t task) {
	s.tasksMu.Lock()
	s.tasks = append(s.tasks, t)
	s.tasksMu.Unlock()
	if !s.wakePending.Swap(true) {
		s.poller.wake()
	}
}

// runTasks runs all posted tasks. It returns their emptied slice, which the next call reuses.
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

// Inspect calls a function with the connection limiter on the event loop. It returns when the function
// has returned or the server has ended.
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
