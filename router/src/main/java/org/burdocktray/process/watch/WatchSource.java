package org.burdocktray.process.watch;

import java.util.Optional;

/**
 * Where a VM gets objects of the store from. Thread safety: immutable.
 *
 * @param watcher the VM that is asked, empty for the store itself
 */
public record WatchSource(Optional<WatchVm> watcher) {

	static final WatchSource STORE = new WatchSource(Optional.empty());

	static WatchSource of(WatchVm vm) {
		return new WatchSource(Optional.of(vm));
	}

	boolean isStore() {
		return this.watcher.isEmpty();
	}

	@Override
	public String toString() {
		return this.watcher.map(WatchVm::name).orElse("store");
	}

}
