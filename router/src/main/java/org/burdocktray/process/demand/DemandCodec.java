package org.burdocktray.process.demand;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.connection.peer.generated.ClassDemand;
import org.burdocktray.connection.peer.generated.DemandSum;
import org.burdocktray.connection.peer.generated.OrganisationDemand;

/**
 * Converts demand between its state in memory and its wire format. What is read is
 * limited in number and size. Thread safety: stateless.
 */
final class DemandCodec {

	private static final int MAX_CLASSES = 32;

	/** Keeps a report within one datagram. */
	private static final int MAX_ORGANISATIONS = 12;

	private static final int MAX_NAME_CHARACTERS = 128;

	private DemandCodec() {
	}

	static DemandSum encode(DemandReport demand) {
		DemandSum.Builder message = DemandSum.newBuilder();
		demand.classes()
			.entrySet()
			.stream()
			.filter((entry) -> isShort(entry.getKey().service()))
			.limit(MAX_CLASSES)
			.forEach((entry) -> message.addClasses(encode(entry.getKey(), entry.getValue())));
		demand.organisationTokensPerSecond()
			.entrySet()
			.stream()
			.filter((entry) -> isShort(entry.getKey().service()) && isShort(entry.getKey().organisation()))
			.sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
			.limit(MAX_ORGANISATIONS)
			.forEach((entry) -> message.addOrganisations(OrganisationDemand.newBuilder()
				.setService(entry.getKey().service())
				.setOrganisation(entry.getKey().organisation())
				.setTokensPerSecond(entry.getValue().floatValue())));
		return message.build();
	}

	private static ClassDemand encode(DemandClass demandClass, ClassLoad load) {
		return ClassDemand.newBuilder()
			.setService(demandClass.service())
			.setPriority(demandClass.priority())
			.setRequestsPerSecond((float) load.requestsPerSecond())
			.setPromptTokensPerSecond((float) load.promptTokensPerSecond())
			.setOutputTokensPerSecond((float) load.outputTokensPerSecond())
			.setRejectedPerSecond((float) load.rejectedPerSecond())
			.setOnTimePerSecond((float) load.onTimePerSecond())
			.setLatePerSecond((float) load.latePerSecond())
			.setBegunPerSecond((float) load.begunPerSecond())
			.build();
	}

	static DemandReport decode(DemandSum message) {
		Map<DemandClass, ClassLoad> classes = new HashMap<>();
		for (ClassDemand entry : first(message.getClassesList(), MAX_CLASSES)) {
			if (isShort(entry.getService())) {
				classes.put(new DemandClass(entry.getService(), entry.getPriority()),
						new ClassLoad(entry.getRequestsPerSecond(), entry.getPromptTokensPerSecond(),
								entry.getOutputTokensPerSecond(), entry.getRejectedPerSecond(),
								entry.getOnTimePerSecond(), entry.getLatePerSecond(), entry.getBegunPerSecond()));
			}
		}
		Map<OrganisationShare, Double> tokens = new HashMap<>();
		for (OrganisationDemand entry : first(message.getOrganisationsList(), MAX_ORGANISATIONS)) {
			double rate = entry.getTokensPerSecond();
			if (isShort(entry.getService()) && isShort(entry.getOrganisation()) && Double.isFinite(rate) && rate > 0) {
				tokens.put(new OrganisationShare(entry.getService(), entry.getOrganisation()), rate);
			}
		}
		return new DemandReport(classes, tokens);
	}

	private static <T> List<T> first(List<T> entries, int maxCount) {
		return entries.subList(0, Math.min(entries.size(), maxCount));
	}

	private static boolean isShort(String name) {
		return name.length() <= MAX_NAME_CHARACTERS;
	}

}
