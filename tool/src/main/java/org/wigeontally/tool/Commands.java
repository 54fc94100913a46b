package org.wigeontally.tool;

import java.util.List;

/**
 * Creates all commands of the command line tool.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all(Console console) {
		return List.of(new DaemonCommand(console, true), new DaemonCommand(console, false), new CheckCommand(console),
				new CheckConfigurationCommand(console), new KeyNewCommand(console), new ApproveCommand(console),
				new BundleWriteCommand(console), new BundleCheckCommand(console), new BundleProposeCommand(console),
				new BundleSignOffCommand(console), new BundleRollCommand(console), new BundleListCommand(console),
				new BundleShowCommand(console), new ZoneCommand(console, true), new ZoneCommand(console, false),
				new HostDrainCommand(console, true), new HostDrainCommand(console, false), new HostListCommand(console),
				new ChangeShowCommand(console), new StatusCommand(console), new WatchCommand(console),
				new ExplainCommand(console), new SettingsPageCommand(console));
	}

}
