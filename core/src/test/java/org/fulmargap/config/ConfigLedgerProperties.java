package org.fulmargap.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the configuration ledger with a reference implementation that recomputes the
 * state from the first record. Guards against entry VMs that have different documents at
 * the same version, and against a version that decreases after a gap.
 */
class ConfigLedgerProperties {

	@Property(seed = "4301", tries = 400)
	void agreesWithTheReferenceOnEveryPrefix(@ForAll Random random) {
		List<JsonNode> stream = randomStream(random, 60);
		ConfigLedger ledger = new ConfigLedger();
		ledger.observeBounds(0, stream.size());
		for (int offset = 0; offset < stream.size(); offset++) {
			ledger.apply(offset, offset, stream.get(offset));
			Reference reference = Reference.of(stream.subList(0, offset + 1));
			ConfigState state = ledger.state();
			assertThat(state.version()).isEqualTo(reference.version);
			assertThat(state.document()).isEqualTo(reference.document);
			assertThat(state.pending().map(PendingPatch::patchId).orElse(null)).isEqualTo(reference.pending);
			assertThat(state.members().keySet()).isEqualTo(reference.members.keySet());
			assertThat(ledger.configuration()).isNotNull();
		}
	}

	@Property(seed = "4302", tries = 400)
	void aReaderThatStartsAtASnapshotReachesTheSameState(@ForAll Random random) {
		List<JsonNode> stream = randomStream(random, 30);
		ConfigLedger full = new ConfigLedger();
		ConfigLedger gapped = new ConfigLedger();
		full.observeBounds(0, stream.size());
		int seenByGapped = random.nextInt(stream.size());
		for (int offset = 0; offset < stream.size(); offset++) {
			full.apply(offset, offset, stream.get(offset));
			if (offset == 0) {
				gapped.observeBounds(0, 1);
			}
			if (offset < seenByGapped) {
				gapped.apply(offset, offset, stream.get(offset));
			}
		}
		JsonNode snapshot = full.export().orElseThrow().toJson();
		int through = stream.size();
		List<JsonNode> more = randomStream(random, 10);
		stream.addAll(more.subList(0, 5));
		stream.add(snapshot);
		stream.addAll(more.subList(5, 10));
		for (int offset = through; offset < stream.size(); offset++) {
			full.apply(offset, offset, stream.get(offset));
		}
		int first = through - random.nextInt(Math.min(5, through - seenByGapped));
		ConfigLedger late = new ConfigLedger();
		for (ConfigLedger reader : List.of(late, gapped)) {
			long before = reader.state().version();
			reader.observeBounds(first, stream.size());
			for (int offset = first; offset < stream.size(); offset++) {
				reader.apply(offset, offset, stream.get(offset));
				assertThat(reader.state().version()).isGreaterThanOrEqualTo(before);
				before = reader.state().version();
			}
			assertThat(reader.state()).isEqualTo(full.state());
		}
	}

	private static List<JsonNode> randomStream(Random random, int size) {
		List<JsonNode> stream = new ArrayList<>();
		while (stream.size() < size) {
			stream.add(randomRecord(random));
		}
		return stream;
	}

	private static JsonNode randomRecord(Random random) {
		String patchId = "p" + random.nextInt(12);
		String vm = "vm" + random.nextInt(3);
		String incarnation = vm + "-" + random.nextInt(2);
		return switch (random.nextInt(12)) {
			case 0, 1 -> new ConfigRecord.Propose(patchId, random.nextInt(4), randomPatch(random), 0).toJson();
			case 2, 3, 4, 5 -> new ConfigRecord.Ack(patchId, vm, incarnation).toJson();
			case 6, 7 -> new ConfigRecord.Commit(patchId).toJson();
			case 8 -> new ConfigRecord.Abort(patchId, "test").toJson();
			case 9 -> new ConfigRecord.Join(new Member(vm, incarnation, "d")).toJson();
			case 10 -> random.nextBoolean() ? new ConfigRecord.Leave(vm, incarnation).toJson()
					: new ConfigRecord.Evict(vm, incarnation, "test").toJson();
			default -> Json.mapper().createObjectNode().put("type", "surprise");
		};
	}

	private static JsonNode randomPatch(Random random) {
		ObjectNode patch = Json.mapper().createObjectNode();
		ObjectNode account = patch.putObject("accounts").putObject("a" + random.nextInt(2));
		account.put("api_key_sha256", "0".repeat(64));
		account.put("weight", random.nextInt(4));
		return patch;
	}

	/**
	 * Reference implementation that applies the raw records.
	 */
	private static final class Reference {

		private long version;

		private JsonNode document = Json.mapper().createObjectNode();

		private String pending;

		private JsonNode result;

		private Map<String, String> required = new HashMap<>();

		private final Map<String, String> members = new TreeMap<>();

		private final Set<String> acks = new HashSet<>();

		private final Set<String> decided = new HashSet<>();

		static Reference of(List<JsonNode> stream) {
			Reference reference = new Reference();
			stream.forEach(reference::apply);
			return reference;
		}

		private void apply(JsonNode record) {
			String id = record.path("patch_id").asText();
			String vm = record.path("vm").asText();
			String incarnation = record.path("incarnation").asText();
			boolean isPending = id.equals(this.pending);
			switch (record.path("type").asText()) {
				case "propose" -> propose(record, id);
				case "ack" -> {
					if (isPending && incarnation.equals(this.required.get(vm))) {
						this.acks.add(vm);
					}
				}
				case "commit" -> {
					if (isPending && this.acks.containsAll(this.required.keySet())) {
						this.version++;
						this.document = this.result;
						this.pending = null;
					}
				}
				case "abort" -> {
					if (isPending) {
						this.pending = null;
					}
				}
				case "join" -> {
					JsonNode member = record.path("member");
					String joined = member.path("vm").asText();
					String previous = this.members.put(joined, member.path("incarnation").asText());
					if (!Objects.equals(previous, this.members.get(joined))) {
						this.required.remove(joined);
					}
				}
				case "leave", "evict" -> {
					if (this.members.remove(vm, incarnation)) {
						this.required.remove(vm);
					}
				}
				default -> {
				}
			}
		}

		private void propose(JsonNode record, String id) {
			if (!this.decided.add(id) || this.pending != null
					|| record.path("expected_version").asLong() != this.version) {
				return;
			}
			JsonNode patched = MergePatch.apply(this.document, record.path("merge_patch"));
			for (JsonNode account : patched.path("accounts")) {
				if (account.path("weight").asInt() < 1) {
					return;
				}
			}
			this.pending = id;
			this.result = patched;
			this.required = new HashMap<>(this.members);
			this.acks.clear();
		}

	}

}
