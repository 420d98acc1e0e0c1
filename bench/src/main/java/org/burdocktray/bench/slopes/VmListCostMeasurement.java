package org.burdocktray.bench.slopes;

import java.io.PrintStream;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.bench.Measurement;

/**
 * Measures the cost of one read of the platform's list of VMs, in the format of the
 * published protocol, by the number of entry VMs and upstreams that it lists. Processor
 * times vary between runs, so no bound is checked. Thread safety: none.
 */
final class VmListCostMeasurement implements Measurement {

	private static final int[] LIST_SIZES = { 44, 390, 2_020 };

	private static final int DATA_CENTRES = 9;

	private final Timing timing = new Timing();

	@Override
	public String name() {
		return "vm-list";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Series.printHeader(out);
		Series bytes = new Series("one read of the list of VMs", "bytes", "listed VM");
		Series time = new Series("one list parsed", "ms", "listed VM");
		for (int listed : LIST_SIZES) {
			String text = createList(listed);
			bytes.add(listed, text.length());
			time.add(listed, this.timing.medianMicros(300, 15, 5, () -> new JsonObject(text)) / 1e3);
		}
		bytes.print(out);
		time.print(out);
		return true;
	}

	private static String createList(int listed) {
		JsonArray items = new JsonArray();
		for (int index = 0; index < listed; index++) {
			items.add(new JsonObject().put("name", "dc" + index % DATA_CENTRES + "-e" + index)
				.put("dataCentre", "dc" + index % DATA_CENTRES)
				.put("address", "10." + index % DATA_CENTRES + "." + index / 250 + "." + index % 250 + ":9000")
				.put("state", "live"));
		}
		return new JsonObject().put("items", items).encode();
	}

}
