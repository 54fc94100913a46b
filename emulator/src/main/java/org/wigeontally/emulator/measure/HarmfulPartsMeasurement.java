package org.wigeontally.emulator.measure;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.harmful.HarmfulPartResult;
import org.wigeontally.emulator.harmful.HarmfulPartSetting;
import org.wigeontally.emulator.harmful.HarmfulPartSimulation;

/**
 * Engines that requests with a harmful part of their prompts crash, and what the defence
 * costs sound requests, in virtual time with the real decision classes. The baselines get
 * the same arrivals: a memory of whole requests, and a count of losses for each part.
 */
final class HarmfulPartsMeasurement implements Measurement {

	@Parameter(names = "--harmful-per-second", description = "Requests a second with the harmful part")
	private double harmfulPerSecond = HarmfulPartSetting.SMALL_FLEET.harmfulPerSecond();

	@Parameter(names = "--second-part-per-second", description = "Requests a second with another harmful part")
	private double secondPartPerSecond;

	@Parameter(names = "--crashed-together", description = "Engines that crash together every five seconds")
	private int crashedTogether;

	@Override
	public String name() {
		return "harmful-parts";
	}

	@Override
	public Figures run(long seed) {
		HarmfulPartSetting setting = HarmfulPartSetting.SMALL_FLEET
			.withHarmfulRequests(this.harmfulPerSecond, this.secondPartPerSecond)
			.withCrashesTogether(this.crashedTogether);
		HarmfulPartResult undisturbed = HarmfulPartSimulation.withTrials(setting.withoutHarmfulRequests(), seed);
		HarmfulPartResult trials = HarmfulPartSimulation.withTrials(setting, seed);
		HarmfulPartResult whole = HarmfulPartSimulation.withWholeRequests(setting, seed);
		HarmfulPartResult counts = HarmfulPartSimulation.withCounts(setting, seed);
		return Figures.create()
			.put("crashes", trials.crashes())
			.put("sentAfterFifthCrash", trials.sentAfterFifthCrash())
			.put("soundShare", trials.soundShare() / undisturbed.soundShare())
			.put("falseRefusals", trials.falseRefusals())
			.put("falseRefusalsUndisturbed", undisturbed.falseRefusals())
			.put("baselineCrashes", whole.crashes())
			.put("baselineSentAfterFifthCrash", whole.sentAfterFifthCrash())
			.put("baselineSoundShare", whole.soundShare() / undisturbed.soundShare())
			.put("countCrashes", counts.crashes())
			.put("countSentAfterFifthCrash", counts.sentAfterFifthCrash())
			.put("countSoundShare", counts.soundShare() / undisturbed.soundShare())
			.put("countFalseRefusals", counts.falseRefusals());
	}

}
