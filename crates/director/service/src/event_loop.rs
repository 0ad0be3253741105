//! The event loop: hands every event to the reducer and has the adapters perform the effects that it asks for.

use crate::adapters::task::AbortOnDropTask;
use crate::adapters::Adapters;
use crate::signals::Signals;
use crate::{config_file, operator_file_reader};
use coppersail_director::reducer::{Event, FileError, Reducer};
use std::ops::ControlFlow;
use tokio::sync::mpsc::{Receiver, Sender};

/// The director after its start.
// The order of the fields is that in which they are dropped: the change log's thread must find the receiver of its
// events alive while the adapters shut down.
pub(crate) struct EventLoop {
    /// The operators' file is being read again. A later reading replaces it, as the file counts as it is last.
    operator_file_task: Option<AbortOnDropTask>,
    adapters: Adapters,
    events: Receiver<Event>,
    event_sender: Sender<Event>,
    reducer: Reducer,
    signals: Signals,
    /// None: operators' changes are off.
    operator_file_path: Option<String>,
}

impl EventLoop {
    /// A loop whose adapters send to `event_sender`, the other end of `events`.
    pub(crate) fn new(
        reducer: Reducer,
        adapters: Adapters,
        events: Receiver<Event>,
        event_sender: Sender<Event>,
        signals: Signals,
        operator_file_path: Option<String>,
    ) -> Self {
        EventLoop {
            operator_file_task: None,
            adapters,
            events,
            event_sender,
            reducer,
            signals,
            operator_file_path,
        }
    }

    /// Runs until the reducer asks for the exit.
    pub(crate) async fn run(mut self) {
        let mut batch = vec![Event::TimerFired];
        loop {
            // What has come meanwhile is one batch: the reducer decides on it together.
            while let Ok(event) = self.events.try_recv() {
                batch.push(event);
            }
            if self.reduce(&mut batch).is_break() {
                return;
            }
            batch.push(self.next_event().await);
        }
    }

    /// Hands the batch over as of one moment, and performs what comes of it.
    fn reduce(&mut self, batch: &mut Vec<Event>) -> ControlFlow<()> {
        let now = self.adapters.timer.now();
        for event in batch.drain(..).chain([Event::EndOfBatch]) {
            for effect in self.reducer.reduce(now, event) {
                self.adapters.perform(effect)?;
            }
        }
        ControlFlow::Continue(())
    }

    async fn next_event(&mut self) -> Event {
        let Adapters { listener, timer, is_accepting, .. } = &mut self.adapters;
        tokio::select! {
            event = listener.accept(), if *is_accepting => event,
            Some(event) = self.events.recv() => event,
            _ = timer.elapsed() => Event::TimerFired,
            _ = self.signals.log_counters.recv() => Event::LogCounters,
            _ = self.signals.reload.recv() => self.reload(),
            _ = self.signals.terminate.recv() => Event::Shutdown,
        }
    }

    /// The configuration as it is now. The operators' file follows as a further event: a template takes its time to be
    /// evaluated, and the loop must not wait for it.
    fn reload(&mut self) -> Event {
        let config = config_file::read().map_err(FileError::new);
        if let Some(path) = self.operator_file_path.clone() {
            let known = self.reducer.settings_names().clone();
            let events = self.event_sender.clone();
            self.operator_file_task = Some(AbortOnDropTask::spawn(async move {
                let operator_file = operator_file_reader::read(&path, &known).await;
                let operator_file = operator_file.map_err(FileError::new);
                let _ = events.send(Event::OperatorFile(Box::new(operator_file))).await;
            }));
        }
        Event::Reload(Box::new(config))
    }
}
