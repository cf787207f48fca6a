# Parameters of the Kitakyushu deployment. scripts/deploy.sh sources this file.
zones=(kokura yahata moji)
services=(crew-link:7 sheet-desk:3) # name and number of backend servers
owners=(city works)
traced_class=pass-report # the demo shows the trace of a request of this class
