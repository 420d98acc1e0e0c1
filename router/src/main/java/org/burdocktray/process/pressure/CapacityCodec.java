package org.burdocktray.process.pressure;

import java.util.List;
import java.util.Optional;

import org.burdocktray.connection.peer.generated.CapacitySum;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.connection.peer.generated.VmCapacity;

/**
 * Converts the messages {@code VmCapacity} and {@code CapacitySum} of {@code load.proto}.
 * The values of other VMs are not checked here. Thread safety: stateless.
 */
final class CapacityCodec {

	private CapacityCodec() {
	}

	/**
	 * Adds the report of one VM to a message.
	 * @param message the message
	 * @param entry the report
	 * @return the message with the report
	 */
	static SharedLoads withCapacity(SharedLoads message, Entry entry) {
		return message.toBuilder().setCapacity(encode(entry)).build();
	}

	/**
	 * Adds the reports of several VMs to a message.
	 * @param message the message
	 * @param sum the reports
	 * @return the message with the reports
	 */
	static SharedLoads withSum(SharedLoads message, Sum sum) {
		CapacitySum.Builder encoded = CapacitySum.newBuilder().setPressedVms(sum.vmsUnderPressure());
		sum.vms().forEach((entry) -> encoded.addVms(encode(entry)));
		return message.toBuilder().setCapacitySum(encoded).build();
	}

	/**
	 * Reads the report of one VM.
	 * @param message a message of another VM
	 * @return the report, empty if there is none
	 */
	static Optional<Entry> readCapacity(SharedLoads message) {
		return message.hasCapacity() ? Optional.of(decode(message.getCapacity())) : Optional.empty();
	}

	/**
	 * Reads the reports of several VMs.
	 * @param message a message of another VM
	 * @return the reports, empty if there are none
	 */
	static Optional<Sum> readSum(SharedLoads message) {
		if (!message.hasCapacitySum()) {
			return Optional.empty();
		}
		CapacitySum sum = message.getCapacitySum();
		List<Entry> vms = sum.getVmsList().stream().map(CapacityCodec::decode).toList();
		return Optional.of(new Sum(Math.max(0, sum.getPressedVms()), vms));
	}

	private static VmCapacity encode(Entry entry) {
		return VmCapacity.newBuilder()
			.setAddress(entry.address())
			.setFreeCores((float) entry.freeCores())
			.setPressed(entry.underPressure())
			.setAgeMillis((int) entry.ageMillis())
			.build();
	}

	private static Entry decode(VmCapacity report) {
		return new Entry(report.getAddress(), report.getFreeCores(), report.getPressed(),
				Integer.toUnsignedLong(report.getAgeMillis()));
	}

	/**
	 * The report of one VM as it was sent. Thread safety: immutable.
	 *
	 * @param address the address of the VM, empty in its own report
	 * @param freeCores the free cores
	 * @param underPressure whether the VM is under pressure
	 * @param ageMillis the age of the report when it was sent
	 */
	record Entry(String address, double freeCores, boolean underPressure, long ageMillis) {

	}

	/**
	 * The reports of several VMs as they were sent. Thread safety: immutable.
	 *
	 * @param vmsUnderPressure the number of VMs under pressure
	 * @param vms the VMs with free capacity
	 */
	record Sum(int vmsUnderPressure, List<Entry> vms) {

	}

}
