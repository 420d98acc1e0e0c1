import java.nio.file.Path;

/** Runs one case as a program: its exit status is 2 if the case could not run. */
interface Case {

	int BROKEN = 1;

	int NOT_RUN = 2;

	long MAX_MILLIS = 118_000;

	/**
	 * Runs the case.
	 * @param record receives what was sent, answered and run
	 * @param isTrouble whether there is a disruption
	 * @return the exit status
	 */
	int run(Record record, boolean isTrouble) throws Exception;

	static void start(Case toRun, String recordFile) {
		HttpServer.thread(() -> {
			try {
				Thread.sleep(MAX_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			System.err.println("the case takes too long");
			System.exit(NOT_RUN);
		});
		int status;
		try {
			status = toRun.run(new Record(Path.of(recordFile)), !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
			status = NOT_RUN;
		}
		System.exit(status);
	}

}
