import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry VM that drains gets SIGTERM once more. Without the disruption it gets SIGTERM
 * once.
 */
final class SecondSigterm extends Case {

	private static final int CLIENTS = 6;

	private static final long WORK_MS = 3_000;

	private static final long FIRST_TERM_AFTER_MS = 500;

	private static final long SECOND_TERM_AFTER_MS = 1_000;

	private static final long PLANNED_MS = 9_000;

	private static final long CLIENT_WAITS_MS = 15_000;

	private final AtomicInteger lost = new AtomicInteger();

	private volatile long termAtMs;

	public static void main(String[] args) {
		run(new SecondSigterm(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		list(new DeskServer("desk-0", WORK_MS, this.record));
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		List<Future<?>> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String attempt = "book" + i;
			clients.add(threads.submit(() -> book(vm, attempt)));
		}
		Thread.sleep(FIRST_TERM_AFTER_MS);
		this.termAtMs = this.record.nowMs();
		vm.signal("TERM");
		if (this.trouble) {
			Thread.sleep(SECOND_TERM_AFTER_MS);
			vm.signal("TERM");
		}
		vm.awaitExit(PLANNED_MS);
		for (Future<?> client : clients) {
			client.get(20, TimeUnit.SECONDS);
		}
		threads.shutdownNow();
		return this.lost.get() > 0;
	}

	private Void book(EntryVm vm, String attempt) {
		String outcome;
		try (Client client = vm.connect(0)) {
			client.send(Client.head("POST", "/file/x", attempt, CLIENT_WAITS_MS, 2, "") + "{}");
			this.record.write(attempt + " is sent");
			long sentAtMs = this.record.nowMs();
			Message answer;
			try {
				answer = Message.read(client.in);
			}
			catch (IOException ex) {
				answer = null;
			}
			long nowMs = this.record.nowMs();
			boolean planned = nowMs - this.termAtMs <= PLANNED_MS && nowMs - sentAtMs < CLIENT_WAITS_MS;
			boolean passedOn = this.record.runs(attempt) > 0;
			if (answer == null && passedOn && planned) {
				this.lost.incrementAndGet();
			}
			outcome = (answer != null) ? "is answered " + answer.status() : "gets no answer: the channel ends";
		}
		catch (IOException ex) {
			outcome = "could not be sent: " + ex.getMessage();
		}
		this.record.write(attempt + ' ' + outcome + "; runs: " + this.record.runs(attempt));
		return null;
	}

}
