package org.burdocktray.process.pressure;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import org.burdocktray.connection.peer.generated.SharedLoads;

/**
 * Writes and reads the messages {@code VmCapacity} and {@code CapacitySum} of
 * {@code load.proto}, by field number, so that it does not depend on generated accessors
 * of these fields. Thread safety: stateless.
 */
final class CapacityCodec {

	private static final int CAPACITY = 8;

	private static final int CAPACITY_SUM = 9;

	private static final int ADDRESS = 1;

	private static final int FREE_CORES = 2;

	private static final int PRESSED = 3;

	private static final int AGE_MILLIS = 4;

	private static final int PRESSED_VMS = 1;

	private static final int VMS = 2;

	private CapacityCodec() {
	}

	/**
	 * Adds the report of one VM to a message.
	 * @param message the message
	 * @param entry the report
	 * @return the message with the report
	 */
	static SharedLoads withCapacity(SharedLoads message, Entry entry) {
		return withField(message, CAPACITY, encode(entry));
	}

	/**
	 * Adds the reports of several VMs to a message.
	 * @param message the message
	 * @param sum the reports
	 * @return the message with the reports
	 */
	static SharedLoads withSum(SharedLoads message, Sum sum) {
		Field.Builder vms = Field.newBuilder();
		sum.vms().forEach((entry) -> vms.addLengthDelimited(encode(entry)));
		return withField(message, CAPACITY_SUM,
				UnknownFieldSet.newBuilder()
					.addField(PRESSED_VMS, Field.newBuilder().addVarint(sum.pressedVms()).build())
					.addField(VMS, vms.build())
					.build()
					.toByteString());
	}

	/**
	 * Reads the report of one VM.
	 * @param message a message of another VM
	 * @return the report, empty if there is none that can be read
	 */
	static Optional<Entry> readCapacity(SharedLoads message) {
		return readField(message, CAPACITY).flatMap(CapacityCodec::decode);
	}

	/**
	 * Reads the reports of several VMs.
	 * @param message a message of another VM
	 * @return the reports, empty if there are none that can be read
	 */
	static Optional<Sum> readSum(SharedLoads message) {
		return readField(message, CAPACITY_SUM).flatMap(CapacityCodec::parse).map((fields) -> {
			List<Entry> vms = fields.getField(VMS)
				.getLengthDelimitedList()
				.stream()
				.flatMap((bytes) -> decode(bytes).stream())
				.toList();
			return new Sum((int) Math.max(0, Math.min(Integer.MAX_VALUE, varint(fields, PRESSED_VMS))), vms);
		});
	}

	private static ByteString encode(Entry entry) {
		UnknownFieldSet.Builder fields = UnknownFieldSet.newBuilder();
		fields.addField(ADDRESS,
				Field.newBuilder().addLengthDelimited(ByteString.copyFromUtf8(entry.address())).build());
		fields.addField(FREE_CORES,
				Field.newBuilder().addFixed32(Float.floatToIntBits((float) entry.freeCores())).build());
		fields.addField(PRESSED, Field.newBuilder().addVarint(entry.pressed() ? 1 : 0).build());
		fields.addField(AGE_MILLIS, Field.newBuilder().addVarint(entry.ageMillis()).build());
		return fields.build().toByteString();
	}

	private static Optional<Entry> decode(ByteString bytes) {
		return parse(bytes).map((fields) -> {
			List<ByteString> address = fields.getField(ADDRESS).getLengthDelimitedList();
			List<Integer> freeCores = fields.getField(FREE_CORES).getFixed32List();
			return new Entry(address.isEmpty() ? "" : address.get(0).toString(StandardCharsets.UTF_8),
					freeCores.isEmpty() ? 0 : Float.intBitsToFloat(freeCores.get(0)), varint(fields, PRESSED) != 0,
					varint(fields, AGE_MILLIS));
		});
	}

	private static long varint(UnknownFieldSet fields, int number) {
		List<Long> values = fields.getField(number).getVarintList();
		return values.isEmpty() ? 0 : values.get(0);
	}

	private static SharedLoads withField(SharedLoads message, int number, ByteString value) {
		UnknownFieldSet field = UnknownFieldSet.newBuilder()
			.addField(number, Field.newBuilder().addLengthDelimited(value).build())
			.build();
		try {
			return message.toBuilder().mergeFrom(field.toByteString()).build();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("own message cannot be read", ex);
		}
	}

	private static Optional<ByteString> readField(SharedLoads message, int number) {
		return parse(message.toByteString()).map((fields) -> fields.getField(number).getLengthDelimitedList())
			.filter((values) -> !values.isEmpty())
			.map((values) -> values.get(values.size() - 1));
	}

	private static Optional<UnknownFieldSet> parse(ByteString bytes) {
		try {
			return Optional.of(UnknownFieldSet.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			return Optional.empty();
		}
	}

	/**
	 * The message {@code VmCapacity} as it was sent, unchecked. Thread safety: immutable.
	 *
	 * @param address the address of the VM, empty in its own report
	 * @param freeCores the free cores
	 * @param pressed whether the VM is under pressure
	 * @param ageMillis the age of the report when it was sent
	 */
	record Entry(String address, double freeCores, boolean pressed, long ageMillis) {

	}

	/**
	 * The message {@code CapacitySum} as it was sent, unchecked. Thread safety:
	 * immutable.
	 *
	 * @param pressedVms the number of VMs under pressure
	 * @param vms the VMs with free capacity
	 */
	record Sum(int pressedVms, List<Entry> vms) {

	}

}
