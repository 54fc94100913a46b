package org.wigeontally.emulator.measure;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Future;
import org.HdrHistogram.Histogram;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.configuration.Signatures;
import org.wigeontally.control.ChangeOutcome;
import org.wigeontally.control.ChangeOutcome.Status;
import org.wigeontally.control.ControlNode;
import org.wigeontally.emulator.control.ControlCluster;
import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.Keys;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.ProposeBundle;
import org.wigeontally.schema.generated.RollBundle;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.SignOffBundle;

/**
 * Cost and delay of control at a number of hosts: real control nodes in one process, a
 * tenth of them entry hosts and at least five. The time until a change is in force counts
 * from the operator's call, so it includes the append. Heap and processor time are of the
 * whole process, divided by the number of nodes; bytes are of the worst node. The slopes
 * compare with a run at half the hosts.
 */
final class ControlMeasurement implements Measurement {

	private static final int MIN_ENTRIES = 5;

	private static final int MAX_CONFIRMING = 9;

	private static final int ENTRY_SHARE = 10;

	private static final long START_MS = 20_000;

	private static final long IN_FORCE_LIMIT_MS = 10_000;

	private static final long POLL_MS = 5;

	private static final long CHANGE_EVERY_MS = 6000;

	private static final double BYTES_PER_MB = 1024 * 1024;

	@Parameter(names = "--hosts", description = "Number of hosts")
	private int hosts = 50;

	@Parameter(names = "--quiet-s", description = "Length of the quiet window in seconds")
	private int quietSeconds = 10;

	@Parameter(names = "--changes", description = "Changes at 10 a minute; as many follow at 60 a minute")
	private int changes = 4;

	private final Keys author = Keys.create("author");

	private final Keys signer = Keys.create("signer");

	/**
	 * Creates the measurement with other than its default options.
	 * @param hosts number of hosts
	 * @return the measurement
	 */
	static ControlMeasurement of(int hosts) {
		ControlMeasurement measurement = new ControlMeasurement();
		measurement.hosts = hosts;
		return measurement;
	}

	@Override
	public String name() {
		return "control";
	}

	@Override
	public Figures run(long seed) throws Exception {
		int half = Math.max(2 * MIN_ENTRIES, this.hosts / 2);
		Sample smaller = (half < this.hosts) ? measure(half) : null;
		Sample sample = measure(this.hosts);
		Figures figures = Figures.create()
			.put("hosts", this.hosts)
			.put("entries", entries(this.hosts))
			.put("inForceMaxMs", sample.inForce().getMaxValue())
			.put("inForceP50Ms", sample.inForce().getValueAtPercentile(50))
			.put("inForceP99Ms", sample.inForce().getValueAtPercentile(99))
			.put("bytesPerSecond", sample.busyBytes())
			.put("quietBytesPerSecond", sample.quietBytes())
			.put("heapMb", sample.heapMb())
			.put("cpuCores", sample.busyCpu())
			.put("quietCpuCores", sample.quietCpu())
			.put("notConfirmed", sample.notServing());
		if (smaller != null) {
			double more = this.hosts - half;
			figures.put("slopeBytesPerSecond", (sample.busyBytes() - smaller.busyBytes()) / more)
				.put("slopeHeapMb", (sample.heapMb() - smaller.heapMb()) / more)
				.put("slopeCpuCores", (sample.busyCpu() - smaller.busyCpu()) / more)
				.put("slopeInForceMaxMs", (sample.inForce().getMaxValue() - smaller.inForce().getMaxValue()) / more);
		}
		return figures;
	}

	private static int entries(int count) {
		return Math.max(MIN_ENTRIES, count / ENTRY_SHARE);
	}

	private Sample measure(int count) throws Exception {
		KeyRing keys = KeyRing.of(List.of(this.author.operatorKey(), this.signer.operatorKey()));
		double heapBefore = usedHeapMb();
		try (ControlCluster cluster = ControlCluster.start(entries(count), count - entries(count), keys)) {
			roll(cluster);
			Usage quiet = Usage.over(cluster, () -> sleep(TimeUnit.SECONDS.toMillis(this.quietSeconds)));
			Histogram inForce = new Histogram(3);
			Usage busy = Usage.over(cluster, () -> change(cluster, inForce, CHANGE_EVERY_MS, "slow"));
			change(cluster, inForce, CHANGE_EVERY_MS / 6, "fast");
			double heapMb = (usedHeapMb() - heapBefore) / count;
			return new Sample(inForce, quiet.bytesPerSecond(), quiet.cpuCores() / count, busy.bytesPerSecond(),
					busy.cpuCores() / count, heapMb, notServing(cluster));
		}
	}

	private void roll(ControlCluster cluster) throws Exception {
		List<String> confirming = cluster.names().subList(0, Math.min(MAX_CONFIRMING, entries(cluster.names().size())));
		Bundle bundle = Bundles.bundle("first", "", Model.newBuilder().setName("m").setVersion("1").build(), confirming,
				List.of(this.author, this.signer));
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
		while (notServing(cluster) > 0 && System.nanoTime() < deadline) {
			sleep(50);
		}
		long proposed = submit(cluster, this.author, 0,
				Change.newBuilder().setPropose(ProposeBundle.newBuilder().setBundle(bundle)));
		long signedOff = submit(cluster, this.signer, proposed, Change.newBuilder()
			.setSignOff(SignOffBundle.newBuilder().setBundle("first").setDigest(Signatures.digest(bundle))));
		submit(cluster, this.author, signedOff,
				Change.newBuilder().setRoll(RollBundle.newBuilder().setBundle("first")));
		sleep(TimeUnit.SECONDS.toMillis(3));
	}

	private long submit(ControlCluster cluster, Keys operator, long buildsOn, Change.Builder change) throws Exception {
		Change signed = Signatures.sign(
				change.setId(UUID.randomUUID().toString()).setAuthor(operator.name()).setBuildsOn(buildsOn).build(),
				operator.privateKey());
		ControlNode node = cluster.nodes().get(0);
		ChangeOutcome outcome = await(node.submit(signed));
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IN_FORCE_LIMIT_MS);
		while (outcome.status() == Status.PENDING && System.nanoTime() < deadline) {
			sleep(POLL_MS);
			outcome = await(node.outcome(signed.getId()));
		}
		if (outcome.status() != Status.ACCEPTED) {
			throw new IllegalStateException("the change is " + outcome.status() + ": " + outcome.findings());
		}
		return outcome.revision();
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(START_MS, TimeUnit.MILLISECONDS);
	}

	private void change(ControlCluster cluster, Histogram inForce, long everyMs, String zone) throws Exception {
		long revision = 0;
		for (int i = 0; i < this.changes; i++) {
			long startedAt = System.nanoTime();
			Change.Builder change = Change.newBuilder().setZone(SetZone.newBuilder().setZone(zone).setOut(i % 2 == 0));
			revision = submit(cluster, this.author, revision, change);
			awaitInForce(cluster, revision, startedAt, inForce);
			sleep(everyMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
		}
	}

	private static void awaitInForce(ControlCluster cluster, long revision, long startedAt, Histogram inForce) {
		List<ControlNode> missing = new ArrayList<>(cluster.nodes());
		long passedMs = 0;
		while (!missing.isEmpty() && passedMs < IN_FORCE_LIMIT_MS) {
			long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
			passedMs = nowMs;
			missing.removeIf((node) -> {
				boolean holds = node.view().configuration().revision() >= revision;
				if (holds) {
					inForce.recordValue(nowMs);
				}
				return holds;
			});
			sleep(POLL_MS);
		}
		missing.forEach((node) -> inForce.recordValue(IN_FORCE_LIMIT_MS));
	}

	private static long notServing(ControlCluster cluster) {
		return cluster.nodes().stream().filter((node) -> !node.view().isServing()).count();
	}

	private static double usedHeapMb() {
		System.gc();
		sleep(200);
		System.gc();
		return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / BYTES_PER_MB;
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(1, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Figures of one number of hosts.
	 *
	 * @param inForce time until a change was in force, for each change and host
	 * @param quietBytes bytes a second of the worst node without changes
	 * @param quietCpu cores of a node without changes
	 * @param busyBytes bytes a second of the worst node at 10 changes a minute
	 * @param busyCpu cores of a node at 10 changes a minute
	 * @param heapMb heap of a node
	 * @param notServing nodes without a valid confirmation at the end
	 */
	private record Sample(Histogram inForce, double quietBytes, double quietCpu, double busyBytes, double busyCpu,
			double heapMb, long notServing) {

	}

	/**
	 * What a window of time used.
	 *
	 * @param bytesPerSecond bytes a second of the worst node
	 * @param cpuCores cores of the whole process
	 */
	private record Usage(double bytesPerSecond, double cpuCores) {

		static Usage over(ControlCluster cluster, Window window) throws Exception {
			OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
			List<Long> bytesBefore = cluster.bytes();
			long cpuBefore = system.getProcessCpuTime();
			long startedAt = System.nanoTime();
			window.run();
			double seconds = (System.nanoTime() - startedAt) / 1e9;
			double cores = (system.getProcessCpuTime() - cpuBefore) / 1e9 / seconds;
			List<Long> bytesAfter = cluster.bytes();
			long most = 0;
			for (int i = 0; i < bytesAfter.size(); i++) {
				most = Math.max(most, bytesAfter.get(i) - bytesBefore.get(i));
			}
			return new Usage(most / seconds, cores);
		}

	}

	/**
	 * What runs during a window.
	 */
	private interface Window {

		void run() throws Exception;

	}

}
