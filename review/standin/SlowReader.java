import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients behind a slow link read the answers to their requests when the entry VM gets
 * SIGTERM. Without the disruption it gets none.
 */
final class SlowReader extends Case {

	private static final int CLIENTS = 4;

	private static final int ANSWER_BYTES = 6_000_000;

	/** A client reads 60,000 bytes each 100 ms: 4.8 Mbit/s. */
	private static final int READ_BYTES = 60_000;

	private static final long READ_PAUSE_MS = 100;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	private static final long TERM_AFTER_MS = 600;

	/** The end of planned work: 1 s after grace-s. */
	private static final long PLANNED_MS = 9_000;

	private final AtomicInteger lost = new AtomicInteger();

	public static void main(String[] args) {
		run(new SlowReader(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		list(new ReportServer("desk-0", this.record));
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		List<Future<?>> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String attempt = "report" + i;
			clients.add(threads.submit(() -> read(vm, attempt)));
		}
		Thread.sleep(TERM_AFTER_MS);
		if (this.trouble) {
			long termAtMs = this.record.nowMs();
			vm.signal("TERM");
			vm.awaitExit(PLANNED_MS);
			this.record.write("from SIGTERM to the exit: " + (this.record.nowMs() - termAtMs) + " ms");
		}
		for (Future<?> client : clients) {
			client.get(40, TimeUnit.SECONDS);
		}
		threads.shutdownNow();
		return this.lost.get() > 0;
	}

	private Void read(EntryVm vm, String attempt) throws InterruptedException {
		int received = 0;
		try (Client client = vm.connect(RECEIVE_BUFFER_BYTES)) {
			client.send(Client.head("GET", "/file/report", attempt, 15_000, 0, ""));
			this.record.write(attempt + " is sent");
			byte[] bytes = new byte[READ_BYTES];
			int count = client.socket.getInputStream().readNBytes(bytes, 0, READ_BYTES);
			while (count == READ_BYTES && received + count < ANSWER_BYTES) {
				received += count;
				Thread.sleep(READ_PAUSE_MS);
				int wanted = Math.min(READ_BYTES, ANSWER_BYTES - received);
				count = client.socket.getInputStream().readNBytes(bytes, 0, wanted);
				if (count < wanted) {
					break;
				}
			}
			received += Math.max(0, count);
		}
		catch (IOException ex) {
			this.record.write(attempt + ": " + ex.getMessage());
		}
		boolean whole = received >= ANSWER_BYTES;
		if (!whole) {
			this.lost.incrementAndGet();
		}
		this.record.write(attempt + " has " + received + " bytes of an answer of " + ANSWER_BYTES + " and its head; "
				+ ((whole) ? "whole" : "the channel has ended") + "; runs: " + this.record.runs(attempt));
		return null;
	}

	private static final class ReportServer extends Server {

		ReportServer(String id, Record record) throws IOException {
			super(id, "desk", 6, record);
		}

		@Override
		void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
			answer(out, 200, attempt, seal(attempt), new byte[ANSWER_BYTES]);
		}

	}

}
