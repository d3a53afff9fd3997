import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Many clients at once send bodies within max-body-bytes to one entry VM, while others
 * send small requests. Without the disruption, a few of them send at a time.
 */
final class LargeBodies extends Case {

	private static final long WORK_MS = 20;

	private static final int UPLOADS = 20;

	private static final int UPLOADS_AT_A_TIME = 4;

	/** Below max-body-bytes, which is 4,194,304. */
	private static final int BODY_BYTES = 4_000_000;

	private static final int PARTS = 100;

	/** The time that one upload takes: 16 Mbit/s, 320 Mbit/s for all on a link of 1,000. */
	private static final long UPLOAD_MS = 2_000;

	public static void main(String[] args) {
		run(new LargeBodies(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		for (int i = 0; i < 3; i++) {
			list(new DeskServer("desk-" + i, WORK_MS, this.record));
		}
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		SmallClients small = new SmallClients(vm, this.record);
		small.start(threads);
		Thread.sleep(1_000);
		int atATime = (this.trouble) ? UPLOADS : UPLOADS_AT_A_TIME;
		for (int first = 0; first < UPLOADS; first += atATime) {
			List<Future<?>> uploads = new ArrayList<>();
			for (int i = first; i < Math.min(UPLOADS, first + atATime); i++) {
				int upload = i;
				uploads.add(threads.submit(() -> upload(vm, upload)));
			}
			for (Future<?> upload : uploads) {
				upload.get(60, TimeUnit.SECONDS);
			}
		}
		Thread.sleep(1_000);
		boolean broken = small.end();
		threads.shutdownNow();
		return broken;
	}

	private Void upload(EntryVm vm, int upload) throws InterruptedException {
		String attempt = "upload" + upload;
		String outcome;
		try (Client client = vm.connect(0)) {
			client.send(Client.head("POST", "/file/x", attempt, 15_000, BODY_BYTES, ""));
			byte[] part = new byte[BODY_BYTES / PARTS];
			for (int i = 0; i < PARTS; i++) {
				client.send(part);
				Thread.sleep(UPLOAD_MS / PARTS);
			}
			Message answer = Message.read(client.in);
			outcome = (answer != null) ? "is answered " + answer.status() : "gets no answer: the channel ends";
		}
		catch (IOException ex) {
			outcome = "gets no answer: " + ex.getMessage();
		}
		this.record.write(attempt + ' ' + outcome + "; runs: " + this.record.runs(attempt));
		return null;
	}

}
