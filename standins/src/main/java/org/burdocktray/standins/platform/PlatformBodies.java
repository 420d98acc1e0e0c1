package org.burdocktray.standins.platform;

import java.util.List;

/**
 * The JSON bodies of the object API. Thread safety: stateless.
 */
final class PlatformBodies {

	private PlatformBodies() {
	}

	record Objects(List<VersionedObject> items, long version) {
	}

	record Vms(List<ListedVm> items) {
	}

	record Creation(String value) {
	}

	record Update(long expectedVersion, String value) {
	}

}
