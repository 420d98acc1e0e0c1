package org.burdocktray.bench.bundle;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.bundle.FollowerSettings;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.bundle.BundleWriter;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.SignedDelta;

/**
 * Measures the time from the roll of a bundle until it is in force, the platform calls
 * and the traffic, at three fleet sizes, compared with a fleet in which every VM polls
 * the store. Thread safety: one thread.
 */
public final class BundlePropagationMeasurement implements Measurement {

	private static final long SEED = 1;

	private static final int[] FLEET_SIZES = { 9, 40, 320 };

	private static final int REPLICAS = 1_700;

	private static final int ORGANISATIONS = 670;

	private static final int MAX_BYTES_PER_SECOND = 10_000;

	private static final int ROLL_COUNT = 60;

	private static final int QUICK_ROLL_COUNT = 12;

	private static final SimulatedFleet.Options COMPLETE_BUNDLES_ONLY = new SimulatedFleet.Options(
			FollowerSettings.DEFAULT, true, false);

	private static final SimulatedFleet.Options EVERY_VM_POLLS = new SimulatedFleet.Options(
			new FollowerSettings(0, 10_000, 10_000, 1_000, 1_000, 30_000), false, false);

	private final SigningFixture signing = new SigningFixture();

	@Override
	public String name() {
		return "bundle-spread";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Sizes sizes = measureSizes(out);
		out.println("| VMs | way | rolled to in force: median s | worst s | after a heal: worst s "
				+ "| platform calls/s | bytes/s a VM: median | worst |");
		out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
		boolean boundsHold = true;
		for (int vmCount : FLEET_SIZES) {
			boundsHold &= measure(out, vmCount, quick, sizes, SimulatedFleet.Options.ALL_ENABLED,
					"watch, peers, differences");
			measure(out, vmCount, quick, sizes, COMPLETE_BUNDLES_ONLY, "watch, peers, whole bundles");
			measure(out, vmCount, quick, sizes, EVERY_VM_POLLS, "every VM polls");
		}
		out.println("Bounds: in force within 15 s, worst VM at most 10 KB/s, at " + BundlePropagationRun.CHANGES_PER_DAY
				+ " changes a day: " + ((boundsHold) ? "held" : "BROKEN"));
		return boundsHold;
	}

	private boolean measure(PrintStream out, int vmCount, boolean quick, Sizes sizes, SimulatedFleet.Options options,
			String method) {
		BundlePropagationRun run = new BundlePropagationRun(vmCount, (quick) ? QUICK_ROLL_COUNT : ROLL_COUNT, SEED,
				this.signing, options);
		run.run();
		List<Long> bytesPerSecond = run.bytesPerSecond(sizes.completeBytes(), sizes.deltaBytes());
		out.printf(Locale.ROOT, "| %d | %s | %.2f | %.2f | %.2f | %.2f | %d | %d |%n", vmCount, method,
				toSeconds(median(run.propagationMillis())), toSeconds(max(run.propagationMillis())),
				toSeconds(max(run.catchUpMillis())), run.platformCallsPerSecond(), median(bytesPerSecond),
				max(bytesPerSecond));
		return Math.max(max(run.propagationMillis()),
				max(run.catchUpMillis())) <= BundleFaultSimulation.MAX_PROPAGATION_MILLIS
				&& max(bytesPerSecond) <= MAX_BYTES_PER_SECOND;
	}

	private Sizes measureSizes(PrintStream out) {
		SignedBundle before = sign(1, createContent(1, ORGANISATIONS));
		SignedBundle after = sign(2, createContent(2, ORGANISATIONS + 1));
		int completeBytes = BundleCodec.write(after).length();
		int deltaBytes = BundleCodec.write(SignedDelta.between(before, after)).length();
		out.printf(Locale.ROOT,
				"Bundle of %d replicas and %d organisations: content %d bytes, stored %d bytes; "
						+ "difference that adds an organisation: %d bytes%n",
				REPLICAS, ORGANISATIONS, after.content().length(), completeBytes, deltaBytes);
		return new Sizes(completeBytes, deltaBytes);
	}

	private static String createContent(long version, int organisations) {
		String text = SampleBundles.large(version, REPLICAS, organisations, new Random(SEED));
		return BundleWriter.write(BundleReader.read("sample", text).get());
	}

	private SignedBundle sign(long version, String content) {
		BundleProposal proposal = this.signing.createSigner("els").propose(version, content);
		return SignedBundle.of(proposal, this.signing.createSigner("jan").approve(proposal));
	}

	private static long median(List<Long> sorted) {
		return sorted.get(sorted.size() / 2);
	}

	private static long max(List<Long> sorted) {
		return sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1);
	}

	private static double toSeconds(long millis) {
		return millis / 1_000.0;
	}

	/**
	 * Sizes of a bundle for the target fleet, in bytes. Thread safety: immutable.
	 *
	 * @param completeBytes the size of a complete bundle in stored form
	 * @param deltaBytes the size of the delta for one change
	 */
	private record Sizes(long completeBytes, long deltaBytes) {

	}

}
