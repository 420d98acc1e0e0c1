package org.burdocktray.bench.quarantine;

/**
 * Describes which requests and faults crash the replicas of gateways. Thread safety:
 * immutable.
 *
 * @param seed the seed of the random generator
 * @param vmCount the number of VMs
 * @param engineCount the number of engines
 * @param crashingRequestCount the number of requests that crash each engine that runs
 * them
 * @param maxResends how often the caller of such a request sends it again, at a random VM
 * @param crashWaves how often engines crash for other reasons
 * @param enginesPerWave the number of engines that crash at the same time
 * @param silentCrashes whether crashed engines fall silent, in place of closing their
 * ports
 * @param silenceWaves how often sound engines fall silent and go on
 * @param enginesPerSilenceWave the number of engines that fall silent at the same time
 * @param crashingPartCount the number of prompt parts that crash each engine that runs a
 * request with them; such requests keep coming, no two alike
 */
public record SharedCrashScenario(long seed, int vmCount, int engineCount, int crashingRequestCount, int maxResends,
		int crashWaves, int enginesPerWave, boolean silentCrashes, int silenceWaves, int enginesPerSilenceWave,
		int crashingPartCount) {

	SharedCrashScenario(long seed, int vmCount, int engineCount, int crashingRequestCount, int maxResends,
			int crashWaves, int enginesPerWave, boolean silentCrashes, int silenceWaves, int enginesPerSilenceWave) {
		this(seed, vmCount, engineCount, crashingRequestCount, maxResends, crashWaves, enginesPerWave, silentCrashes,
				silenceWaves, enginesPerSilenceWave, 0);
	}

}
