/** When servers are in trouble: for 6 s, then not for 3 s, and so on. */
final class Spells {

	private static final long TROUBLE_MS = 6_000;

	private static final long CALM_MS = 3_000;

	private Spells() {
	}

	static boolean isDisturbed() {
		return EntryVm.now() % (TROUBLE_MS + CALM_MS) < TROUBLE_MS;
	}

}
