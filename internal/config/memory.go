package config

// Limits.MemoryMB bounds all memory of the process: the pages of the program and its libraries that are
// in use, and the relay's data. This file divides what remains for the data.

const (
	programMemory = 10 << 20 // bytes of the program, its libraries and the stacks of its threads
	minDataShare  = 3        // the data get at least 1/3, in case the limit is hardly more than programMemory

	commandMemoryDivisor = 8 // clients' commands may use 1/8 of the memory for data,
	pendingMemoryDivisor = 6 // and accepted messages 1/6

	// The rest of the memory for data, and of the whole memory, is for files and stacks.
	heapTenthsOfData  = 9
	heapTenthsOfWhole = 7
)

// memory returns the maximum memory of the process, in bytes.
func (c *Config) memory() int { return c.Limits.MemoryMB << 20 }

// dataMemory returns the memory that the relay's data may use, in bytes.
func (c *Config) dataMemory() int { return max(c.memory()-programMemory, c.memory()/minDataShare) }

// HeapLimit returns the soft memory limit of the Go runtime, in bytes.
func (c *Config) HeapLimit() int64 {
	return int64(min(c.memory()/10*heapTenthsOfWhole, c.dataMemory()/10*heapTenthsOfData))
}

// CommandMemory returns the maximum memory, in bytes, of client commands that are being
// read or wait for their reply.
func (c *Config) CommandMemory() int {
	if c.ClientSettings.MemoryMB > 0 {
		return c.ClientSettings.MemoryMB << 20
	}
	return c.dataMemory() / commandMemoryDivisor
}

// PendingMemory returns the maximum memory, in bytes, of accepted messages that have not ended.
func (c *Config) PendingMemory() int { return c.dataMemory() / pendingMemoryDivisor }
