import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A few entry VMs in three zones, with the store that they use. */
final class Fleet implements AutoCloseable {

	static final String KEY = "9dnn2ctnfzs989anu6ws";

	static final long CONTACT_MS = 3_000;

	static final List<String> ZONES = List.of("gent-a", "gent-b", "gent-c");

	final LogStore store = new LogStore("127.0.0.1");

	final List<EntryVm> vms = new ArrayList<>();

	private final Record record;

	Fleet(Record record) throws IOException {
		this.record = record;
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.vms.forEach(EntryVm::close)));
	}

	/** Starts one machine in each zone. Returns whether all are ready and in touch. */
	boolean start() throws IOException, InterruptedException {
		return start(ZONES);
	}

	/** Starts a machine for each entry of a list of zones. */
	boolean start(List<String> zones) throws IOException, InterruptedException {
		Path folder = Files.createTempDirectory("review-2");
		String net = "127." + (1 + ProcessHandle.current().pid() % 250) + '.' + (1 + System.nanoTime() % 250) + '.';
		for (int i = 0; i < zones.size(); i++) {
			EntryVm vm = new EntryVm(folder, "edge-" + (i + 1), zones.get(i), net + (i + 1), this.store.address());
			vm.start();
			this.vms.add(vm);
		}
		for (EntryVm vm : this.vms) {
			if (!vm.awaitReady(20_000)) {
				this.record.line("machine " + vm.name() + " isn't ready");
				return false;
			}
		}
		Thread.sleep(CONTACT_MS);
		return true;
	}

	@Override
	public void close() {
		this.vms.forEach(EntryVm::close);
		this.store.close();
	}

}
