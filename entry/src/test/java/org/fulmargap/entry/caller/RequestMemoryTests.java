package org.fulmargap.entry.caller;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies of callers that use up the memory together, and against bodies
 * that wait for each other for good.
 */
class RequestMemoryTests {

	private static final int BODY_BYTES = 4 << 20;

	private static final int PART_BYTES = 1 << 18;

	private final List<Body> bodies = new ArrayList<>();

	private RequestMemory memory;

	private boolean shareAllowed;

	@BeforeTry
	void empty() {
		this.bodies.clear();
		this.memory = new RequestMemory();
	}

	private Body body(String account) {
		Body body = new Body(account);
		this.bodies.add(body);
		return body;
	}

	@Property(seed = "7", tries = 300)
	void bodiesOfAnyOrderStayWithinTheLimitAndAllArrive(
			@ForAll @Size(min = 1, max = 24) List<@IntRange(min = 0, max = 3) Integer> accounts,
			@ForAll @Size(min = 1, max = 50) List<@IntRange(min = 0, max = 23) Integer> order) {
		accounts.forEach((account) -> body("account" + account));
		int turn = 0;
		for (int parts = 0; this.bodies.stream().anyMatch((body) -> !body.ended); parts++) {
			assertThat(parts).as("parts").isLessThan(50_000);
			this.bodies.get(order.get(turn++ % order.size()) % this.bodies.size()).receive();
			// Any body gets its turn again.
			this.bodies.get(parts % this.bodies.size()).receive();
			// A body waits after the part with which the limit was passed.
			assertThat(this.memory.usedBytes()).isLessThanOrEqualTo(
					RequestMemory.MAX_TOTAL_BYTES + BODY_BYTES + (long) this.bodies.size() * PART_BYTES);
		}
		assertThat(this.memory.usedBytes()).isZero();
	}

	@Example
	void theBodiesOfOneAccountDoNotStopThoseOfAnother() {
		body("large").receive(PART_BYTES);
		Body other = body("other");
		other.receive(PART_BYTES);
		for (int i = 0; i < 20; i++) {
			body("large").receive(PART_BYTES);
		}
		long half = RequestMemory.MAX_ACCOUNT_BYTES / BODY_BYTES;
		assertThat(this.bodies.stream().filter((body) -> body.allowed)).hasSizeLessThanOrEqualTo((int) half + 1)
			.contains(other);
	}

	@Example
	void aBodyOverTheWholeLimitArrivesWhenNoOtherHasMemory() {
		Body first = body("a");
		first.receive(PART_BYTES);
		RequestMemory.Share huge = this.memory.share("b", 2 * RequestMemory.MAX_TOTAL_BYTES,
				(allowed) -> this.shareAllowed = allowed);
		huge.add(PART_BYTES);
		assertThat(this.shareAllowed).isFalse();
		first.share.close();
		assertThat(this.shareAllowed).isTrue();
	}

	@Example
	void aBodyThatIsWholeWaitsForNoMemory() {
		this.memory.share("a", RequestMemory.MAX_TOTAL_BYTES, (allowed) -> {
		}).add(PART_BYTES);
		RequestMemory.Share last = this.memory.share("b", 0, (allowed) -> this.shareAllowed = allowed);
		last.add(PART_BYTES);
		assertThat(this.shareAllowed).isFalse();
		last.whole();
		assertThat(this.shareAllowed).isTrue();
	}

	@Example
	void smallBodiesGoOnWhileLargeOnesWait() {
		this.memory.share("a", RequestMemory.MAX_TOTAL_BYTES, (allowed) -> {
		}).add(PART_BYTES);
		Body large = body("b");
		large.receive(PART_BYTES);
		assertThat(large.allowed).isFalse();
		Body small = body("b");
		small.receive((int) RequestMemory.SMALL_BYTES);
		assertThat(small.allowed).isTrue();
	}

	/**
	 * A body that arrives as far as it may, and ends a few turns after it is whole.
	 */
	private final class Body {

		private static final int TURNS_OF_THE_REQUEST = 5;

		private final RequestMemory.Share share;

		private boolean allowed = true;

		private int receivedBytes;

		private int turnsLeft = TURNS_OF_THE_REQUEST;

		private boolean ended;

		private Body(String account) {
			// Every second body states its length.
			long statedBytes = (RequestMemoryTests.this.bodies.size() % 2 == 0) ? BODY_BYTES : 0;
			this.share = RequestMemoryTests.this.memory.share(account, statedBytes,
					(allowed) -> this.allowed = allowed);
		}

		private void receive() {
			if (this.receivedBytes < BODY_BYTES) {
				receive(PART_BYTES);
			}
			else if (!this.ended) {
				this.turnsLeft--;
				this.ended = this.turnsLeft == 0;
				if (this.ended) {
					this.share.close();
				}
			}
		}

		private void receive(int bytes) {
			if (!this.allowed) {
				return;
			}
			this.receivedBytes += bytes;
			this.share.add(bytes);
			if (this.receivedBytes == BODY_BYTES) {
				this.share.whole();
			}
		}

	}

}
