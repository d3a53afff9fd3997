package org.fulmargap.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.config.Json;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the claim ledger with a reference implementation that recomputes the owner
 * from the whole stream. Guards against two ledgers that disagree about the owner of a
 * key, which would let a request run twice.
 */
class ClaimLedgerProperties {

	private static final long LIFETIME_MS = 100_000;

	private static final List<ClaimKey> KEYS = List.of(new ClaimKey("a", "k1"), new ClaimKey("a", "k2"),
			new ClaimKey("b", "k1"));

	@Property(seed = "4101", tries = 400)
	void agreesWithTheReferenceOnEveryPrefix(@ForAll Random random) {
		ClaimLedger ledger = new ClaimLedger(LIFETIME_MS);
		List<JsonNode> stream = Stream.random(random, 60);
		ledger.observeBounds(0, stream.size(), 0);
		for (int offset = 0; offset < stream.size(); offset++) {
			ledger.apply(offset, 1_000 + offset, stream.get(offset), 1_000);
			if (random.nextInt(5) == 0) {
				int repeated = random.nextInt(offset + 1);
				ledger.apply(repeated, 1_000 + repeated, stream.get(repeated), 1_000);
			}
			for (ClaimKey key : KEYS) {
				assertThat(ledger.owner(key)).isEqualTo(Reference.owner(stream.subList(0, offset + 1), key));
			}
		}
	}

	@Property(seed = "4102", tries = 400)
	void aReaderThatStartsAfterACoverageHoldsEveryLiveClaim(@ForAll Random random) {
		ClaimLedger full = new ClaimLedger(LIFETIME_MS);
		List<JsonNode> stream = new ArrayList<>(Stream.random(random, 40));
		full.observeBounds(0, stream.size(), 0);
		applyAll(full, stream, 0);
		full.tryComplete(0);
		long first = random.nextInt(stream.size());
		long covered = -1;
		while (covered < first) {
			full.observeBounds(Math.max(1, first), stream.size(), 0);
			List<ClaimRecord> due = full.checkpointsDue(2);
			assertThat(due).isNotEmpty();
			stream.add(ClaimBatch.toJson(due));
			full.observeBounds(Math.max(1, first), stream.size(), 0);
			applyAll(full, stream, stream.size() - 1);
			covered = (due.get(0) instanceof ClaimRecord.Coverage coverage) ? coverage.since() : covered;
		}
		ClaimLedger late = new ClaimLedger(LIFETIME_MS);
		late.observeBounds(covered, stream.size(), 0);
		applyAll(late, stream, (int) covered);
		assertThat(late.tryComplete(0)).isTrue();
		for (ClaimKey key : KEYS) {
			assertThat(late.owner(key)).isEqualTo(full.owner(key));
			assertThat(late.claims(key)).isEqualTo(full.claims(key));
		}
	}

	private static void applyAll(ClaimLedger ledger, List<JsonNode> stream, int from) {
		for (int offset = from; offset < stream.size(); offset++) {
			ledger.apply(offset, 1_000 + offset, stream.get(offset), 1_000);
		}
	}

	/**
	 * Random streams that correct entry VMs can write, with repeated appends and
	 * malformed records.
	 */
	private static final class Stream {

		private final Random random;

		private final Map<String, ClaimRecord.Claim> claims = new HashMap<>();

		private final Set<String> released = new HashSet<>();

		private final List<JsonNode> values = new ArrayList<>();

		private Stream(Random random) {
			this.random = random;
		}

		static List<JsonNode> random(Random random, int size) {
			Stream stream = new Stream(random);
			while (stream.values.size() < size) {
				stream.values.add(stream.next());
			}
			return stream.values;
		}

		private JsonNode next() {
			if (this.random.nextInt(10) == 0) {
				return Json.mapper().createObjectNode().put("records", "broken");
			}
			List<ClaimRecord> records = new ArrayList<>();
			for (int i = 0; i <= this.random.nextInt(3); i++) {
				records.add(record());
			}
			JsonNode batch = ClaimBatch.toJson(records);
			if (this.random.nextInt(8) == 0) {
				((ArrayNode) batch.path("records")).insertObject(0).put("type", "surprise");
			}
			return batch;
		}

		private ClaimRecord record() {
			String attemptId = "vm" + this.random.nextInt(3) + "/" + this.random.nextInt(12);
			ClaimRecord.Claim known = this.claims.get(attemptId);
			int choice = this.random.nextInt(4);
			if (known == null || choice == 0) {
				ClaimKey key = KEYS.get(Math.floorMod(attemptId.hashCode(), KEYS.size()));
				ClaimRecord.Claim claim = new ClaimRecord.Claim(key, "d", attemptId, attemptId.substring(0, 3), 900);
				this.claims.put(attemptId, claim);
				return claim;
			}
			Optional<ClaimView> owner = Reference.owner(this.values, known.key());
			boolean owns = owner.filter((view) -> view.attemptId().equals(attemptId)).isPresent();
			if (choice == 1 && owns && !this.released.contains(attemptId)) {
				return new ClaimRecord.Outcome(known.key(), attemptId, new RecordedOutcome(200, attemptId, false));
			}
			this.released.add(attemptId);
			return new ClaimRecord.Release(known.key(), attemptId);
		}

	}

	/**
	 * Reference implementation that computes the owner of a key from the whole stream.
	 */
	private static final class Reference {

		static Optional<ClaimView> owner(List<JsonNode> stream, ClaimKey key) {
			List<ClaimFound> claims = new ArrayList<>();
			Map<String, RecordedOutcome> outcomes = new HashMap<>();
			Set<String> released = new HashSet<>();
			String winner = null;
			for (int offset = 0; offset < stream.size(); offset++) {
				int index = 0;
				for (JsonNode node : stream.get(offset).path("records")) {
					JsonNode type = node.path("type");
					JsonNode content = type.asText().equals("checkpoint") ? node.path("claim") : node;
					String attemptId = content.path("attempt_id").asText();
					long rank = offset * 4096L + index++;
					if (!content.path("key").equals(Json.mapper().valueToTree(key))) {
						continue;
					}
					if (type.asText().equals("claim")
							&& claims.stream().noneMatch((seen) -> seen.id.equals(attemptId))) {
						claims.add(new ClaimFound(attemptId, rank, content, Math.max(900, 1_000 + offset)));
					}
					else if (type.asText().equals("release") && !outcomes.containsKey(attemptId) && winner == null) {
						released.add(attemptId);
					}
					else if (type.asText().equals("outcome") && winner == null && !released.contains(attemptId)
							&& claims.stream().anyMatch((seen) -> seen.id.equals(attemptId))) {
						winner = attemptId;
						outcomes.put(attemptId,
								new RecordedOutcome(200, node.path("outcome").path("body").asText(), false));
					}
				}
			}
			String finished = winner;
			return claims.stream()
				.filter((seen) -> (finished != null) ? seen.id.equals(finished) : !released.contains(seen.id))
				.min(Comparator.comparingLong((seen) -> seen.rank))
				.map((seen) -> new ClaimView(seen.id, seen.node.path("incarnation").asText(), "d", seen.atMs,
						Optional.ofNullable(outcomes.get(seen.id))));
		}

		private record ClaimFound(String id, long rank, JsonNode node, long atMs) {
		}

	}

}
