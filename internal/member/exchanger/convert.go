package exchanger

import (
	"net/netip"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Address returns the address at which a member serves its peers, if it is valid.
func Address(member *peerpb.Member) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(member.GetAddress())
	return address, err == nil
}

// ToAmount converts resources to their message.
func ToAmount(resources descriptor.Resources) *peerpb.Amount {
	return &peerpb.Amount{
		MilliCpu:     resources.MilliCPU,
		MemoryBytes:  resources.MemoryBytes,
		Accelerators: resources.Accelerators,
	}
}

// FromAmount converts a message to resources.
func FromAmount(amount *peerpb.Amount) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     amount.GetMilliCpu(),
		MemoryBytes:  amount.GetMemoryBytes(),
		Accelerators: amount.GetAccelerators(),
	}
}
