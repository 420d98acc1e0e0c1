package org.burdocktray.bench.golden;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.burdocktray.bench.membership.DrainScenario;
import org.burdocktray.bench.membership.DrainSession;
import org.burdocktray.bench.quarantine.CrashScenario;
import org.burdocktray.bench.quarantine.CrashSession;

/**
 * The sessions whose events are kept in golden files. The main method writes the files
 * and is called only by {@code scripts/regenerate-golden}.
 */
public final class GoldenSessions {

	static final Map<String, Supplier<List<String>>> SESSIONS = new TreeMap<>(
			Map.of("upstream-leaves-while-a-data-centre-is-cut.txt", GoldenSessions::upstreamLeaves,
					"request-crashes-upstreams.txt", GoldenSessions::requestCrashesUpstreams));

	private GoldenSessions() {
	}

	/**
	 * Writes all golden files.
	 * @param arguments the directory of the golden files
	 * @throws IOException if a file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		Path directory = Path.of(arguments[0]);
		for (Map.Entry<String, Supplier<List<String>>> session : SESSIONS.entrySet()) {
			Files.write(directory.resolve(session.getKey()), session.getValue().get());
		}
	}

	private static List<String> requestCrashesUpstreams() {
		CrashSession session = new CrashSession(new CrashScenario(2, 9, 35, 1, 10, 0, 0, true));
		session.run();
		return session.lines();
	}

	private static List<String> upstreamLeaves() {
		DrainSession session = new DrainSession(new DrainScenario(11, 9, DrainScenario.FirstIndication.LIST,
				Optional.of(DrainSession.DATA_CENTRES.get(2)), 30_000, true));
		session.run(60_000);
		session.replaceUpstream(90_000);
		return session.lines();
	}

}
