package org.burdocktray.process.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.model.NetworkAddress;

/**
 * The sources of scrapes for the burn report. Thread safety: immutable.
 *
 * @param adminAddresses the admin addresses of the VMs to scrape, may be empty
 * @param scrapeCount the number of scrapes of each VM
 * @param intervalSeconds the time between two scrapes
 * @param saveDirectory the directory where live scrapes are saved
 * @param savedScrapes the directory of saved scrapes to read
 * @param retiredVms the VMs that are not expected after their last scrape
 */
record ScrapeSources(List<NetworkAddress> adminAddresses, int scrapeCount, long intervalSeconds,
		Optional<ScrapeDirectory> saveDirectory, Optional<ScrapeDirectory> savedScrapes, List<String> retiredVms) {

	private static final String ADMIN_OPTION = "admin";

	private static final String EVERY_OPTION = "every";

	private static final String FOR_OPTION = "for";

	private static final String SAVE_OPTION = "save";

	private static final String SCRAPES_OPTION = "scrapes";

	private static final String RETIRED_OPTION = "retired";

	private static final long MAX_SECONDS = 31_622_400;

	static Options addOptionsTo(Options options) {
		addOption(options, ADMIN_OPTION, "IP:PORT[,…]", "Admin addresses of VMs to scrape.");
		addOption(options, EVERY_OPTION, "SECONDS", "Time between two scrapes, 15 by default.");
		addOption(options, FOR_OPTION, "SECONDS", "How long to scrape; once by default.");
		addOption(options, SAVE_OPTION, "DIR", "Save live scrapes as DIR/VM/EPOCHMILLIS.prom.");
		addOption(options, SCRAPES_OPTION, "DIR", "Read saved scrapes.");
		return addOption(options, RETIRED_OPTION, "VM[,…]", "VMs not expected after their last scrape.");
	}

	static Either<String, ScrapeSources> fromOptions(CommandLine line) {
		if (!line.hasOption(ADMIN_OPTION) && !line.hasOption(SCRAPES_OPTION)) {
			return Either.left("--admin or --scrapes is needed");
		}
		if (!line.hasOption(ADMIN_OPTION)
				&& (line.hasOption(SAVE_OPTION) || line.hasOption(EVERY_OPTION) || line.hasOption(FOR_OPTION))) {
			return Either.left("--save, --every and --for need --admin");
		}
		return parseSeconds(line, EVERY_OPTION, 15, 1).flatMap((intervalSeconds) -> parseSeconds(line, FOR_OPTION, 0, 0)
			.flatMap((durationSeconds) -> parseAdminAddresses(line).map((addresses) -> new ScrapeSources(addresses,
					(int) (durationSeconds / intervalSeconds) + 1, intervalSeconds, parseDirectory(line, SAVE_OPTION),
					parseDirectory(line, SCRAPES_OPTION), parseList(line, RETIRED_OPTION)))));
	}

	List<String> expectedVmNames() {
		return this.adminAddresses.stream().map(NetworkAddress::toString).toList();
	}

	private static Either<String, List<NetworkAddress>> parseAdminAddresses(CommandLine line) {
		List<NetworkAddress> addresses = new ArrayList<>();
		for (String text : parseList(line, ADMIN_OPTION)) {
			Optional<NetworkAddress> address = NetworkAddress.parse(text);
			if (address.isEmpty()) {
				return Either.left("--admin: expected IP:PORT, found " + text);
			}
			addresses.add(address.get());
		}
		return Either.right(addresses.stream().distinct().toList());
	}

	private static Either<String, Long> parseSeconds(CommandLine line, String option, long defaultSeconds, long min) {
		String text = line.getOptionValue(option, String.valueOf(defaultSeconds));
		boolean isValid = text.matches("\\d{1,9}") && Long.parseLong(text) >= min
				&& Long.parseLong(text) <= MAX_SECONDS;
		return isValid ? Either.right(Long.parseLong(text))
				: Either.left("--" + option + ": expected whole seconds from " + min + ", found " + text);
	}

	private static List<String> parseList(CommandLine line, String option) {
		return line.hasOption(option) ? List.of(line.getOptionValue(option).split(",")) : List.of();
	}

	private static Optional<ScrapeDirectory> parseDirectory(CommandLine line, String option) {
		return Optional.ofNullable(line.getOptionValue(option)).map(Path::of).map(ScrapeDirectory::new);
	}

	private static Options addOption(Options options, String name, String argument, String description) {
		return options.addOption(Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get());
	}

}
