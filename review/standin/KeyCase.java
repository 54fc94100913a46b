import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two entries, two replicas, two tenants with three keys. The operator takes the keys away
 * one after the other. Clients go on calling with the keys that were taken away, and one
 * calls with a key that no configuration ever held.
 */
public final class KeyCase {

	/** Longer than config-apply-ms (2,000) and revoke-ms (5,000). */
	private static final long APPLIED_MS = 6_500;

	private KeyCase() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Record record = new Record(Path.of(args[0]));
		try {
			System.exit(run(trouble, record));
		}
		catch (Exception ex) {
			record.add("test", "run", "could not run", ex.toString());
			record.save();
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static String tenants(boolean hasA1, boolean hasA2, boolean hasB1) {
		List<String> keysOfA = new ArrayList<>();
		if (hasA1) {
			keysOfA.add("\"key-a1\"");
		}
		if (hasA2) {
			keysOfA.add("\"key-a2\"");
		}
		return "[{\"name\":\"org-a\",\"api-keys\":[" + String.join(",", keysOfA)
				+ "],\"priority\":1,\"allowed-regions\":[]},{\"name\":\"org-b\",\"api-keys\":["
				+ (hasB1 ? "\"key-b1\"" : "") + "],\"priority\":1,\"allowed-regions\":[]}]";
	}

	private static int run(boolean trouble, Record record) throws Exception {
		Path directory = Files.createTempDirectory("review-key");
		Store store = new Store();
		store.put("keyed.op", "config", Site.configuration(1, tenants(true, true, true)));
		for (int i = 0; i < 2; i++) {
			new Replica(store, record, "i-desk" + i, "desk", false, 0, 0);
		}
		List<Entry> entries = List.of(new Entry("edge-a-1"), new Entry("edge-a-2"));
		for (Entry entry : entries) {
			entry.start(directory, store.port(), entries);
		}
		for (Entry entry : entries) {
			entry.awaitReady();
		}
		Replica.sleep(3_500);
		for (Entry entry : entries) {
			expect(200, ask(record, entry, "key-a1", "before"));
			expect(200, ask(record, entry, "key-a2", "before"));
			expect(200, ask(record, entry, "key-b1", "before"));
			expect(401, ask(record, entry, "key-of-nobody", "before"));
		}
		// revoke with count 3: one key at a time, each in a configuration of its own.
		for (int gone = 1; gone <= 3; gone++) {
			store.put("keyed.op", "config", Site.configuration(1 + 3 * gone,
					trouble ? tenants(gone < 1, gone < 2, gone < 3) : tenants(true, true, true)));
			record.add("operator", "store", "acknowledged", "configuration " + (1 + 3 * gone)
					+ (trouble ? ", keys left: " + (3 - gone) : ", all keys"));
			Replica.sleep(1_000);
		}
		Replica.sleep(APPLIED_MS);
		int broken = 0;
		for (Entry entry : entries) {
			for (String key : List.of("key-a1", "key-a2", "key-b1", "key-of-nobody")) {
				String id = ask(record, entry, key, "after").id();
				boolean held = !trouble && !key.equals("key-of-nobody");
				if (record.hasRun(id) && !held) {
					broken++;
					record.add("test", key.equals("key-of-nobody") ? "ROUTE" : "CONFIG",
							"a replica ran a request with a key that is not in force", id + " key " + key);
				}
				if (!record.hasRun(id) && held) {
					throw new IllegalStateException("a valid key was refused");
				}
			}
		}
		entries.forEach(Entry::end);
		record.add("test", "result", broken > 0 ? "BROKEN" : "held", broken + " requests ran without a valid key");
		record.save();
		System.out.println((broken > 0 ? "broken: " : "held: ") + broken + " requests ran without a valid key");
		return (broken > 0) ? 1 : 0;
	}

	private record Asked(String id, int status) {
	}

	private static Asked ask(Record record, Entry entry, String key, String when) {
		String id = when + "-" + entry.name + "-" + key;
		record.add("client", id, "key", key);
		Caller.Answer answer = new Caller(record, key, entry.front).withKey(key)
			.send("POST", "/once/x", id, new byte[50], 1_500);
		return new Asked(id, answer.status());
	}

	private static void expect(int status, Asked asked) {
		if (asked.status() != status) {
			throw new IllegalStateException(asked + " should have status " + status);
		}
	}

}
