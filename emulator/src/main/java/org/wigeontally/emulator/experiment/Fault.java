package org.wigeontally.emulator.experiment;

import java.io.IOException;

/**
 * A fault that an experiment brings about and later ends.
 */
public enum Fault {

	/** Nothing happens. */
	NONE {
		@Override
		void begin(Scenario scenario) {
		}

		@Override
		void end(Scenario scenario) {
		}
	},

	/** An entry host dies and comes back empty. */
	KILL_ENTRY {
		@Override
		void begin(Scenario scenario) {
			scenario.deployment().process(lastEntry(scenario)).kill();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().startDaemon(lastEntry(scenario));
		}
	},

	/** An entry host's process stands still for a while. */
	PAUSE_ENTRY {
		@Override
		void begin(Scenario scenario) throws IOException {
			scenario.deployment().process(lastEntry(scenario)).pause();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().process(lastEntry(scenario)).resume();
		}
	},

	/** An agent dies and comes back empty; its backend servers live. */
	KILL_AGENT {
		@Override
		void begin(Scenario scenario) {
			scenario.deployment().process(lastHost(scenario)).kill();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().startDaemon(lastHost(scenario));
		}
	},

	/** An agent's process stands still for a while. */
	PAUSE_AGENT {
		@Override
		void begin(Scenario scenario) throws IOException {
			scenario.deployment().process(lastHost(scenario)).pause();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().process(lastHost(scenario)).resume();
		}
	},

	/** An agent is asked to end and is started again. */
	DRAIN_AGENT {
		@Override
		void begin(Scenario scenario) {
			scenario.deployment().process(lastHost(scenario)).terminate();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().startDaemon(lastHost(scenario));
		}
	},

	/** An entry is asked to end and is started again. */
	DRAIN_ENTRY {
		@Override
		void begin(Scenario scenario) {
			scenario.deployment().process(lastEntry(scenario)).terminate();
		}

		@Override
		void end(Scenario scenario) throws IOException {
			scenario.deployment().startDaemon(lastEntry(scenario));
		}
	},

	/** The log is down for a while. */
	LOG_OUTAGE {
		@Override
		void begin(Scenario scenario) throws Exception {
			scenario.fault("log", "outage=true");
		}

		@Override
		void end(Scenario scenario) throws Exception {
			scenario.fault("log", "outage=false");
		}
	},

	/** A third of the replies to appends is lost. */
	LOST_REPLIES {
		@Override
		void begin(Scenario scenario) throws Exception {
			scenario.fault("log", "lost=0.33");
		}

		@Override
		void end(Scenario scenario) throws Exception {
			scenario.fault("log", "lost=0");
		}
	},

	/** A plain service stops answering for a while. */
	FREEZE_SERVICE {
		@Override
		void begin(Scenario scenario) throws Exception {
			scenario.fault("service-" + lastHost(scenario), "frozen=true");
		}

		@Override
		void end(Scenario scenario) throws Exception {
			scenario.fault("service-" + lastHost(scenario), "frozen=false");
		}
	},

	/** An engine crashes and comes back. */
	CRASH_ENGINE {
		@Override
		void begin(Scenario scenario) throws Exception {
			scenario.fault("engine-" + lastHost(scenario), "crash_ms=2000");
		}

		@Override
		void end(Scenario scenario) {
		}
	};

	abstract void begin(Scenario scenario) throws Exception;

	abstract void end(Scenario scenario) throws Exception;

	private static String lastEntry(Scenario scenario) {
		return scenario.deployment().entries().get(scenario.deployment().entries().size() - 1);
	}

	private static String lastHost(Scenario scenario) {
		return scenario.deployment().hosts().get(scenario.deployment().hosts().size() - 1);
	}

}
