import java.nio.file.Path;

/** Runs one case and ends the process with its result. */
final class Case {

	private static final int COULD_NOT_RUN = 2;

	private Case() {
	}

	/**
	 * Runs a case. The first argument is the folder of its record; with TROUBLE=0 in the
	 * environment there is no disruption.
	 */
	static void run(String[] args, Body body) {
		int code = COULD_NOT_RUN;
		try (Record record = new Record(Path.of(args[0], "record.txt")); Fleet fleet = new Fleet(record)) {
			code = body.run(record, fleet, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(code);
	}

	/** The steps of a case. */
	interface Body {

		int run(Record record, Fleet fleet, boolean trouble) throws Exception;

	}

}
