import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The frame of a case: a store, a record, a temporary folder, and the processes and
 * stand-ins that are ended with it. {@code main} of a case exits with 1 if the rule was
 * broken, 0 if it held and 2 if the case could not run.
 */
abstract class Case {

	/** How long a machine must be undisturbed before rules hold for it: contact-ms and more. */
	static final long CONTACT_MS = 3_200;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	Record record;

	Store store;

	Path directory;

	private final List<AutoCloseable> opened = new ArrayList<>();

	/** Plays the case; returns whether the rule was broken. */
	abstract boolean play() throws Exception;

	<T extends AutoCloseable> T opened(T resource) {
		this.opened.add(resource);
		return resource;
	}

	EntryVm startVm(String name) throws IOException, InterruptedException {
		EntryVm vm = opened(new EntryVm(name, this.directory, this.store, this.record));
		vm.awaitReady();
		return vm;
	}

	void list(Server server) {
		opened(server);
		this.store.put(Store.SERVERS, server.id, server.entry());
	}

	static void run(Case played, String folder) {
		int code;
		try {
			code = played.runIn(Path.of(folder));
		}
		catch (Exception ex) {
			ex.printStackTrace();
			code = 2;
		}
		System.exit(code);
	}

	private int runIn(Path folder) throws Exception {
		this.directory = Files.createTempDirectory("review");
		this.record = new Record(folder.resolve("record.txt"));
		try {
			this.store = opened(new Store());
			this.store.put(Store.OPERATOR, "config", Config.text(1));
			boolean broken = play();
			String verdict = (broken) ? "the rule was broken" : "the rule held";
			this.record.write(verdict);
			System.out.println(verdict);
			return (broken) ? 1 : 0;
		}
		catch (Exception ex) {
			this.record.write("the case could not run: " + ex);
			throw ex;
		}
		finally {
			for (AutoCloseable resource : this.opened) {
				resource.close();
			}
			this.record.close();
			delete(this.directory);
		}
	}

	private static void delete(Path directory) throws IOException {
		try (Stream<Path> files = Files.walk(directory)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

}
