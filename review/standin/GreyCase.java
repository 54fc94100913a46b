import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One entry and seven replicas, one of which turns grey: it runs requests and answers two of
 * five with 503, without X-Not-Executed. Clients send requests that may not be repeated, and
 * repeat them after a promise that they have not run, as the pages say.
 */
public final class GreyCase {

	private static final int REPLICAS = 7;

	private static final int REQUESTS = 200;

	private GreyCase() {
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

	private static int run(boolean trouble, Record record) throws Exception {
		Path directory = Files.createTempDirectory("review-grey");
		Store store = new Store();
		store.put("keyed.op", "config", Site.configuration(1));
		List<Replica> replicas = new ArrayList<>();
		for (int i = 0; i < REPLICAS; i++) {
			replicas.add(new Replica(store, record, "i-desk" + i, "desk", false, 0, 0));
		}
		Entry entry = new Entry("edge-a-1");
		entry.start(directory, store.port(), List.of(entry));
		entry.awaitReady();
		Replica.sleep(3_500);
		if (trouble) {
			replicas.get(0).turnGrey();
			record.add("platform", replicas.get(0).id(), "turns grey", "");
		}
		int broken = 0;
		int doubled = 0;
		Caller caller = new Caller(record, "c", entry.front);
		for (int i = 0; i < REQUESTS; i++) {
			String id = "booking-" + i;
			int status = caller.send("POST", "/once/x", id, new byte[100], 1_500).status();
			if (status == 503 || status == 429) {
				if (record.hasRun(id)) {
					broken++;
					record.add("test", "REFUSED", "answered " + status + " and has run", id);
				}
				caller.close();
				caller.send("POST", "/once/x", id + "-again", new byte[100], 1_400);
				if (record.hasRun(id) && record.hasRun(id + "-again")) {
					doubled++;
					record.add("test", "booking", "has run twice", id);
				}
			}
			Replica.sleep(20);
		}
		entry.end();
		record.add("test", "result", broken > 0 ? "BROKEN" : "held", broken + " requests");
		record.save();
		System.out.println((broken > 0 ? "broken: " : "held: ") + broken + " requests answered as not run had run; "
				+ doubled + " of them ran again");
		return (broken > 0) ? 1 : 0;
	}

}
