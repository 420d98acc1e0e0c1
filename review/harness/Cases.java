package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
final class Cases {

	private Cases() {
	}

	/** A case in a fleet of its own; returns whether the rule was broken. */
	interface Case {

		boolean run(Fleet fleet, boolean trouble) throws Exception;

	}

	static void run(String[] arguments, Case review) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
			fleet.record.note(trouble ? "with the disruption" : "without the disruption");
			boolean isBroken = review.run(fleet, trouble);
			fleet.record.note(isBroken ? "the rule was broken" : "the rule held");
			status = isBroken ? 1 : 0;
		}
		catch (Exception | Error ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

}
