package org.fulmargap.server;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

/**
 * Dependency injection component that creates an entry VM from its settings.
 */
@Singleton
@Component(modules = { CoreModule.class, PlatformModule.class, ServerModule.class })
interface ServerComponent {

	/**
	 * Returns the entry VM.
	 * @return the entry VM, not started
	 */
	EntryVm entryVm();

	/**
	 * Creates the component.
	 */
	@Component.Factory
	interface Factory {

		/**
		 * Creates the component.
		 * @param settings the settings of the entry VM
		 * @return the component
		 */
		ServerComponent create(@BindsInstance Settings settings);

	}

}
