package config

// Limits.MemoryMB bounds all memory of the process: the pages of the program and its libraries that are
// in use, and the relay's data. This file divides what remains for the data.

const (
	programMemory = 10 << 20 // bytes of the program, its libraries and the stacks of its threads
	minDataShare  = 3        // the data get at least 1/3, in case the limit is hardly more than programMemory

	commandMemoryDivisor     = 8 // of the whole memory
	commandDataDivisor       = 6 // of the memory for data, if that is less
	pendingDataDivisor       = 4 // compaction needs the same amount again
	heapLimitTenths          = 7 // of the whole memory; the rest is for the program, files and stacks
	heapLimitTenthsOfTheData = 9
)

// memory returns the maximum memory of the process, in bytes.
func (c *Config) memory() int { return c.Limits.MemoryMB << 20 }

// dataMemory returns the memory that the relay's data may use, in bytes.
func (c *Config) dataMemory() int { return max(c.memory()-programMemory, c.memory()/minDataShare) }

// HeapLimit returns the soft memory limit of the Go runtime, in bytes.
func (c *Config) HeapLimit() int64 {
	return int64(min(c.memory()/10*heapLimitTenths, c.dataMemory()/10*heapLimitTenthsOfTheData))
}

// CommandMemory returns the maximum memory, in bytes, of client commands that are being
// read or wait for their reply.
func (c *Config) CommandMemory() int {
	if c.ClientSettings.MemoryMB > 0 {
		return c.ClientSettings.MemoryMB << 20
	}
	return min(c.memory()/commandMemoryDivisor, c.dataMemory()/commandDataDivisor)
}

// PendingMemory returns the maximum memory, in bytes, of accepted messages that have not ended.
func (c *Config) PendingMemory() int { return c.dataMemory() / pendingDataDivisor }
