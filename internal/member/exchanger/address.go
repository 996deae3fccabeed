package exchanger

import (
	"net/netip"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Address returns the address at which a member is called.
func Address(member *peerpb.Member) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(member.GetAddress())
	return address, err == nil
}

// Amount returns the message form of resources.
func Amount(resources descriptor.Resources) *peerpb.Amount {
	return &peerpb.Amount{
		MilliCpu:     resources.MilliCPU,
		MemoryBytes:  resources.MemoryBytes,
		Accelerators: resources.Accelerators,
	}
}

// Resources returns the resources of a message.
func Resources(amount *peerpb.Amount) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     amount.GetMilliCpu(),
		MemoryBytes:  amount.GetMemoryBytes(),
		Accelerators: amount.GetAccelerators(),
	}
}
